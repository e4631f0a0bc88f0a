// Command replay measures the decisions under load on virtual time.
package main

import (
	"fmt"
	"os"

	"teaselmoor/internal/replay/command"
)

func main() {
	if err := command.New().Run(os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "replay:", err)
		os.Exit(1)
	}
}
