// Command standins runs stand-ins of the systems that teaselmoor serves and
// reads: for trying it out and for tests.
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
