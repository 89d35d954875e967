// Command bench measures the figures that docs/CAPACITY.md is based on, and prints one
// row for each: name, value, unit.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"
)

// runTimeout bounds the whole run.
const runTimeout = 5 * time.Minute

// section is a group of benchmarks that can be selected by its name.
type section struct {
	name string
	run  func(ctx context.Context) error
}

func sections() []section {
	return []section{
		{"route", benchRoute},
		{"fleet", benchFleet},
		{"claims", benchClaims},
		{"control", benchControl},
	}
}

// main runs the sections named on the command line, or all of them if none is named.
func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	code := run(ctx, os.Args[1:])
	cancel()
	stop()
	os.Exit(code)
}

// run runs the sections in names, or all if names is empty, up to the first that
// fails. It returns the exit code.
func run(ctx context.Context, names []string) int {
	for _, se := range sections() {
		if len(names) > 0 && !slices.Contains(names, se.name) {
			continue
		}
		if err := se.run(ctx); err != nil {
			fmt.Fprintf(os.Stderr, "%s: %v\n", se.name, err)
			return 1
		}
	}
	return 0
}

// printRow prints one figure with up to three decimals.
func printRow(name string, value float64, unit string) {
	fmt.Printf("%-58s %14s %s\n", name, strings.TrimRight(strings.TrimRight(fmt.Sprintf("%.3f", value), "0"), "."), unit)
}
