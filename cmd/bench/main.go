// Command bench measures what docs/CAPACITY.md works from, and prints one row
// for each figure: name, value, unit.
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

// limit bounds the whole run.
const limit = 5 * time.Minute

// section is a part of the run.
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

// main runs the sections named on the command line, or all.
func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	ctx, cancel := context.WithTimeout(ctx, limit)
	code := run(ctx, os.Args[1:])
	cancel()
	stop()
	os.Exit(code)
}

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

// row prints one figure.
func row(name string, value float64, unit string) {
	fmt.Printf("%-58s %14s %s\n", name, strings.TrimRight(strings.TrimRight(fmt.Sprintf("%.3f", value), "0"), "."), unit)
}
