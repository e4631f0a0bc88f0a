// Command teaselmoor runs a daemon that serves LoRA adapters on shared model
// engines, and provides the commands with which operators inspect daemons and gateways
// and check and publish files.
package main

import (
	"context"
	"os"

	"teaselmoor/internal/serve/command"
)

func main() {
	os.Exit(command.Run(context.Background(), os.Args, os.Stdin, os.Stdout, os.Stderr))
}
