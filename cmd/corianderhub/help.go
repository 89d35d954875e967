package main

import (
	"embed"
	"fmt"
	"io/fs"
	"strings"
)

const helpUsage = `Prints a help page, or the list of pages.`

//go:embed help/*.md
var pages embed.FS

type helpCommand struct {
	Args struct {
		Topic string `positional-arg-name:"TOPIC"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (hc *helpCommand) Execute([]string) error {
	if hc.Args.Topic == "" {
		return listPages()
	}
	raw, err := pages.ReadFile("help/" + hc.Args.Topic + ".md")
	if err != nil {
		return &exitError{exitUsage, fmt.Sprintf("unknown help page %q; \"corianderhub help\" lists the pages", hc.Args.Topic)}
	}
	fmt.Print(string(raw))
	return nil
}

func listPages() error {
	entries, err := fs.ReadDir(pages, "help")
	if err != nil {
		return err
	}
	fmt.Println("Pages, for \"corianderhub help TOPIC\":")
	for _, en := range entries {
		fmt.Println("  " + strings.TrimSuffix(en.Name(), ".md"))
	}
	return nil
}
