package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"time"

	"github.com/rotisserie/eris"
)

// ServerName is the DNS name in every daemon's certificate. Daemons are
// reached by IP number and replaced at any time, so the CA alone says who
// belongs to the system.
const ServerName = "daemon.corianderhub.internal"

const (
	caLifetime   = 10 * 365 * 24 * time.Hour
	certLifetime = 365 * 24 * time.Hour
	clockSkew    = time.Hour
)

// Material is PEM text of a CA and of one certificate that it signed.
type Material struct {
	CA, CAKey, Cert, Key []byte
}

// NewMaterial makes a CA and a daemon certificate for first use and tests.
func NewMaterial(now time.Time) (Material, error) {
	caKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Material{}, eris.Wrap(err, "keys")
	}
	ca := template("corianderhub CA", now, caLifetime)
	ca.IsCA = true
	ca.BasicConstraintsValid = true
	ca.KeyUsage = x509.KeyUsageCertSign
	caDER, err := x509.CreateCertificate(rand.Reader, ca, ca, caKey.Public(), caKey)
	if err != nil {
		return Material{}, eris.Wrap(err, "keys")
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Material{}, eris.Wrap(err, "keys")
	}
	cert := template("corianderhub daemon", now, certLifetime)
	cert.DNSNames = []string{ServerName}
	cert.KeyUsage = x509.KeyUsageDigitalSignature
	cert.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	certDER, err := x509.CreateCertificate(rand.Reader, cert, ca, key.Public(), caKey)
	if err != nil {
		return Material{}, eris.Wrap(err, "keys")
	}
	caKeyPEM, err := keyPEM(caKey)
	if err != nil {
		return Material{}, err
	}
	certKeyPEM, err := keyPEM(key)
	return Material{CA: certPEM(caDER), CAKey: caKeyPEM, Cert: certPEM(certDER), Key: certKeyPEM}, err
}

func template(name string, now time.Time, life time.Duration) *x509.Certificate {
	serial, _ := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(life),
	}
}

func certPEM(der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
}

func keyPEM(key *ecdsa.PrivateKey) ([]byte, error) {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, eris.Wrap(err, "keys")
	}
	return pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der}), nil
}

// Config returns the TLS configuration for both ends of a connection.
func (ma Material) Config() (*tls.Config, error) {
	cert, err := tls.X509KeyPair(ma.Cert, ma.Key)
	if err != nil {
		return nil, eris.Wrap(err, "keys")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ma.CA) {
		return nil, eris.New("keys: the CA file holds no certificate")
	}
	return &tls.Config{
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}, nil
}

// ReadMaterial reads the files that a daemon needs.
func ReadMaterial(ca, cert, key string) (Material, error) {
	var ma Material
	for _, part := range []struct {
		file string
		into *[]byte
	}{{ca, &ma.CA}, {cert, &ma.Cert}, {key, &ma.Key}} {
		raw, err := os.ReadFile(part.file)
		if err != nil {
			return Material{}, eris.Wrap(err, "keys")
		}
		*part.into = raw
	}
	return ma, nil
}
