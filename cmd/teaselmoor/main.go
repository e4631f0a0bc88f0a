// Command teaselmoor serves LoRA adapters on shared model engines.
package main

import (
	"fmt"
	"os"

	"teaselmoor/internal/serve/command"
)

func main() {
	if err := command.New().Run(os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "teaselmoor:", err)
		os.Exit(1)
	}
}
