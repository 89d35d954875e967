package main

import (
	"fmt"
	"runtime"
)

const versionUsage = `Prints the version of corianderhub and of Go.`

// version is the current version, as in CHANGELOG.md.
const version = "0.1.0"

type versionCommand struct{}

// Execute implements flags.Commander.
func (*versionCommand) Execute([]string) error {
	fmt.Printf("corianderhub %s (%s %s/%s)\n", version, runtime.Version(), runtime.GOOS, runtime.GOARCH)
	return nil
}
