// Command standins runs simple replacements for the systems that teaselmoor works
// with, such as the platform and the model engines, for trials and tests.
package main

import (
	"fmt"
	"os"

	"teaselmoor/internal/standin/command"
)

func main() {
	if err := command.New().Run(os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standins:", err)
		os.Exit(1)
	}
}
