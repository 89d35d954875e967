package main

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"corianderhub.dev/corianderhub/internal/peer"
)

const keysUsage = `Generates a CA and a certificate for the daemons (ca.pem, ca-key.pem, daemon.pem,
daemon-key.pem) and a token for the operators (token) in DIR, and prints the
token's digest for the settings. With --secret it only prints a new random key
for a workspace and its digest. Existing files are not overwritten.`

const (
	// secretBytes is the number of random bytes in a key or token, which is
	// written in hex.
	secretBytes = 24
	fileMode    = 0o600
	dirMode     = 0o700
)

type keysCommand struct {
	Secret bool `long:"secret" description:"only print a new key and its digest"`
	Args   struct {
		Dir string `positional-arg-name:"DIR"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (kc *keysCommand) Execute([]string) error {
	secret, digest := newSecret()
	if kc.Secret {
		fmt.Printf("key = %q\nkey-sha256 = %q\n", secret, digest)
		return nil
	}
	if kc.Args.Dir == "" {
		return &exitError{exitUsage, "keys: either DIR or --secret is required"}
	}
	ma, err := peer.NewMaterial(time.Now())
	if err != nil {
		return err
	}
	if err := os.MkdirAll(kc.Args.Dir, dirMode); err != nil {
		return eris.Wrap(err, "keys")
	}
	for _, fi := range []struct {
		name string
		raw  []byte
	}{{"ca.pem", ma.CA}, {"ca-key.pem", ma.CAKey}, {"daemon.pem", ma.Cert}, {"daemon-key.pem", ma.Key}, {"token", []byte(secret + "\n")}} {
		if err := writeNewFile(filepath.Join(kc.Args.Dir, fi.name), fi.raw); err != nil {
			return err
		}
	}
	fmt.Printf("token-sha256 = %q\n", digest)
	return nil
}

// newSecret returns a random key in hex, and the SHA-256 digest of that text in
// hex.
func newSecret() (secret, digest string) {
	raw := make([]byte, secretBytes)
	rand.Read(raw)
	secret = hex.EncodeToString(raw)
	sum := sha256.Sum256([]byte(secret))
	return secret, hex.EncodeToString(sum[:])
}

// writeNewFile writes a file that only its owner can read. It fails if the file
// exists.
func writeNewFile(file string, raw []byte) error {
	fi, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, fileMode)
	if err != nil {
		return eris.Wrap(err, "keys")
	}
	if _, err := fi.Write(raw); err != nil {
		fi.Close()
		return eris.Wrap(err, "keys")
	}
	return fi.Close()
}
