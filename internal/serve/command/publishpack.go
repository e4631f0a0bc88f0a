package command

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v2"

	"teaselmoor/internal/control/config"
	"teaselmoor/internal/serve/daemon"
)

// packReport is the JSON output of the publish-pack command.
type packReport struct {
	Version uint64
	// Parts are the paths of the files to publish first, in any order. The key of
	// each is its file name.
	Parts []string
	// Manifest is the path of the file to publish last, under the key Key.
	Manifest string
	Key      string
	Bytes    int // total size of the parts
}

func publishPackCommand() *cli.Command {
	return &cli.Command{
		Name:  "publish-pack",
		Usage: "split a configuration into a manifest and parts that fit the configuration service; writes files only",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "configuration", Usage: "read the configuration from `FILE`"},
			&cli.StringFlag{Name: "out", Usage: "write the files into `DIRECTORY`"},
			jsonFlag(),
		},
		Action: publishPack,
	}
}

func publishPack(invocation *cli.Context) error {
	path, err := requiredFlag(invocation, "configuration")
	if err != nil {
		return err
	}
	directory, err := requiredFlag(invocation, "out")
	if err != nil {
		return err
	}
	checkResult := checkReport{}
	snapshot, _, err := checkResult.readConfig(path)
	if err != nil {
		return err
	}
	if snapshot == nil {
		checkResult.print(invocation)
		return withCode(ExitMistakes, errors.Errorf("%d mistakes; nothing was written", len(checkResult.Mistakes)))
	}
	report, err := writePack(snapshot.Config, directory)
	if err != nil {
		return err
	}
	if invocation.Bool("json") {
		return writeJSON(invocation, report)
	}
	writeLine(invocation, "version %d: %d parts, %d bytes", report.Version, len(report.Parts), report.Bytes)
	writeLine(invocation, "publish each %s* under the file's name, then %s under the key %s",
		filepath.Join(directory, config.PartPrefix), report.Manifest, report.Key)
	return nil
}

const (
	directoryMode = 0o755
	fileMode      = 0o644
)

// writePack writes the parts and then the manifest, so that a manifest never names
// a file that does not exist.
func writePack(document config.Config, directory string) (packReport, error) {
	manifest, parts, err := config.Pack(document)
	if err != nil {
		return packReport{}, err
	}
	if err := os.MkdirAll(directory, directoryMode); err != nil {
		return packReport{}, errors.Wrap(err, "create directory")
	}
	report := packReport{Version: manifest.Version, Key: daemon.ConfigKey, Manifest: filepath.Join(directory, daemon.ConfigKey)}
	for _, part := range parts {
		path := filepath.Join(directory, part.Name)
		if err := os.WriteFile(path, part.Body, fileMode); err != nil {
			return packReport{}, errors.Wrap(err, "write part")
		}
		report.Parts = append(report.Parts, path)
		report.Bytes += len(part.Body)
	}
	text, err := config.FormatManifest(manifest)
	if err != nil {
		return packReport{}, err
	}
	return report, errors.Wrap(os.WriteFile(report.Manifest, text, fileMode), "write manifest")
}
