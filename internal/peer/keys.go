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

// ServerName is the DNS name in every daemon's certificate. Daemons are addressed by
// IP and replaced at any time, so the signature of the CA alone identifies a member of
// the system.
const ServerName = "daemon.corianderhub.internal"

const (
	// Validity of the CA and of a daemon's certificate. clockSkew is how far the start
	// of both lies in the past, for daemons whose clock is slow.
	caLifetime   = 10 * 365 * 24 * time.Hour
	certLifetime = 365 * 24 * time.Hour
	clockSkew    = time.Hour
)

// Material holds a CA certificate and one certificate that the CA signed, with their
// private keys, all PEM-encoded. CAKey is empty if the CA's key is not at hand.
type Material struct {
	CA, CAKey, Cert, Key []byte
}

// NewMaterial generates a CA and a daemon certificate, for a first installation and
// for tests. Both are valid from clockSkew before now.
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

// template returns a certificate template with a random serial number.
func template(name string, now time.Time, lifetime time.Duration) *x509.Certificate {
	serial, _ := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(lifetime),
	}
}

func certPEM(der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
}

// keyPEM returns the key in PKCS #8 form.
func keyPEM(key *ecdsa.PrivateKey) ([]byte, error) {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, eris.Wrap(err, "keys")
	}
	return pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der}), nil
}

// Config returns the TLS configuration for both ends of a connection. It requires a
// client certificate signed by the CA.
func (ma Material) Config() (*tls.Config, error) {
	cert, err := tls.X509KeyPair(ma.Cert, ma.Key)
	if err != nil {
		return nil, eris.Wrap(err, "keys")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ma.CA) {
		return nil, eris.New("keys: CA file contains no PEM certificate")
	}
	return &tls.Config{
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}, nil
}

// ReadMaterial reads the PEM files of the CA certificate and of a daemon's certificate
// and key. It does not check their content.
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
