// Command teaselmoor serves LoRA adapters on shared model engines.
package main

import (
	"context"
	"os"

	"teaselmoor/internal/serve/command"
)

func main() {
	os.Exit(command.Run(context.Background(), os.Args, os.Stdin, os.Stdout, os.Stderr))
}
