package command

import (
	"runtime/debug"

	"github.com/urfave/cli/v2"
)

// buildVersion is the JSON output of the version command.
type buildVersion struct {
	Version  string
	Revision string
	Modified bool
	Go       string
}

func readVersion() buildVersion {
	build := buildVersion{Version: "unknown"}
	info, found := debug.ReadBuildInfo()
	if !found {
		return build
	}
	build.Version, build.Go = info.Main.Version, info.GoVersion
	for _, setting := range info.Settings {
		switch setting.Key {
		case "vcs.revision":
			build.Revision = setting.Value
		case "vcs.modified":
			build.Modified = setting.Value == "true"
		}
	}
	return build
}

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "write the version of the program",
		Flags: []cli.Flag{jsonFlag()},
		Action: func(invocation *cli.Context) error {
			build := readVersion()
			if invocation.Bool("json") {
				return writeJSON(invocation, build)
			}
			writeLine(invocation, "teaselmoor %s %s (%s)", build.Version, build.Revision, build.Go)
			return nil
		},
	}
}
