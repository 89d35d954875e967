package main

import (
	"encoding/json"
	"os"
	"strings"

	"github.com/rotisserie/eris"

	"corianderhub.dev/corianderhub/pkg/admin"
)

// operatorFlags are the flags of the commands that call a daemon's administration
// API.
type operatorFlags struct {
	Address   string `long:"address" env:"CORIANDERHUB_ADDRESS" default:"127.0.0.1:7002" description:"a daemon's listener for operators, IP:port"`
	TokenFile string `long:"token-file" env:"CORIANDERHUB_TOKEN_FILE" description:"file with the operators' token"`
	JSON      bool   `long:"json" description:"print JSON"`
}

// client returns a client of the daemon at --address.
func (of operatorFlags) client() (*admin.Client, error) {
	cl := &admin.Client{Address: of.Address}
	if of.TokenFile == "" {
		return cl, nil
	}
	raw, err := os.ReadFile(of.TokenFile)
	if err != nil {
		return nil, eris.Wrap(err, "token")
	}
	cl.Token = strings.TrimSpace(string(raw))
	return cl, nil
}

func printJSON(val any) error {
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(val)
}

// readFile returns the content of a declarations file.
func readFile(file string) (string, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return "", &exitError{exitRefused, err.Error()}
	}
	return string(raw), nil
}
