// Command teaselmoor-gateway runs the gateway daemon, which forwards callers'
// requests to backend servers, on the users' platform.
package main

import (
	"os"

	"teaselmoor/platform"
)

func main() {
	os.Exit(platform.Run(os.Args, os.Stdout, os.Stderr))
}
