// Command teaselmoor-gateway serves callers on the users' platform.
package main

import (
	"os"

	"teaselmoor/platform"
)

func main() {
	os.Exit(platform.Run(os.Args, os.Stdout, os.Stderr))
}
