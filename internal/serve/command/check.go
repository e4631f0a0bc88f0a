package command

import (
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v2"

	"teaselmoor/internal/base/document"
	"teaselmoor/internal/base/settings"
	"teaselmoor/internal/control/compare"
	"teaselmoor/internal/control/config"
)

// fileMistake is one mistake in a checked file.
type fileMistake struct {
	File string
	Line int
	Key  string
	Text string
}

// checkReport is the JSON output of the check command.
type checkReport struct {
	Mistakes []fileMistake
	// Change lists the effects of publishing the configuration. It is nil unless the
	// configuration in force was given too and each of the two is valid by itself.
	Change *compare.Report `json:",omitempty"`
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:  "check",
		Usage: "find mistakes in settings and in a configuration, and show what a change does",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "check the settings in `FILE`"},
			&cli.StringFlag{Name: "configuration", Usage: "check the configuration in `FILE`, to be published"},
			&cli.StringFlag{Name: "present", Usage: "compare with the configuration in `FILE`, which is in force"},
			jsonFlag(),
		},
		Action: check,
	}
}

func check(invocation *cli.Context) error {
	settingsPath, configPath := invocation.String("settings"), invocation.String("configuration")
	presentPath := invocation.String("present")
	if settingsPath == "" && configPath == "" {
		return withCode(ExitUsage, errors.New("give -settings or -configuration, or both"))
	}
	if presentPath != "" && configPath == "" {
		return withCode(ExitUsage, errors.New("-present needs -configuration"))
	}
	report := checkReport{Mistakes: []fileMistake{}}
	if err := report.checkSettings(settingsPath); err != nil {
		return err
	}
	if err := report.checkChange(configPath, presentPath); err != nil {
		return err
	}
	if invocation.Bool("json") {
		if err := writeJSON(invocation, report); err != nil {
			return err
		}
	} else {
		report.print(invocation)
	}
	if len(report.Mistakes) > 0 {
		return withCode(ExitMistakes, errors.Errorf("%d mistakes", len(report.Mistakes)))
	}
	return nil
}

func (report *checkReport) add(path string, mistakes document.Mistakes) {
	for _, mistake := range mistakes {
		report.Mistakes = append(report.Mistakes, fileMistake{File: path, Line: mistake.Line, Key: mistake.Key, Text: mistake.Text})
	}
}

func (report *checkReport) checkSettings(path string) error {
	if path == "" {
		return nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	_, err = settings.Parse(text)
	var mistakes document.Mistakes
	if err != nil && !errors.As(err, &mistakes) {
		return err
	}
	report.add(path, mistakes)
	return nil
}

// checkChange checks the configuration in a file and, if presentPath is not empty,
// compares it with the configuration in force.
func (report *checkReport) checkChange(path, presentPath string) error {
	if path == "" {
		return nil
	}
	next, text, err := report.readConfig(path)
	if err != nil || presentPath == "" {
		return err
	}
	present, _, err := report.readConfig(presentPath)
	if err != nil || present == nil || next == nil {
		return err
	}
	problems := config.CheckSuccessor(present, next.Config)
	if next.Version() <= present.Version() {
		problems = append(problems, config.Problem{
			Path: "Version", Text: "is not above the present one, so daemons would ignore the document",
		})
	}
	report.add(path, mistakesOf(config.Locate(text, problems)))
	change := compare.Compare(present, next)
	report.Change = &change
	return nil
}

// readConfig returns the configuration in a file, with the file's text. If the file
// has mistakes, it adds them to the report and returns a nil configuration.
func (report *checkReport) readConfig(path string) (*config.Snapshot, []byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, errors.Wrap(err, "read configuration")
	}
	parsed, err := config.Parse(text)
	if err != nil {
		report.add(path, mistakesOf(err))
		return nil, text, nil
	}
	if problems := config.Locate(text, config.Validate(parsed)); len(problems) > 0 {
		report.add(path, mistakesOf(problems))
		return nil, text, nil
	}
	snapshot, err := config.Compile(parsed)
	return snapshot, text, err
}

// mistakesOf converts the problems that an error lists to mistakes. An error that
// lists no problems becomes one mistake without a line.
func mistakesOf(err error) document.Mistakes {
	var problems config.Problems
	if !errors.As(err, &problems) {
		return document.Mistakes{{Text: err.Error()}}
	}
	mistakes := make(document.Mistakes, 0, len(problems))
	for _, problem := range problems {
		mistakes = append(mistakes, document.Mistake{Line: problem.Line, Key: problem.Path, Text: problem.Text})
	}
	return mistakes
}

// print writes the mistakes and the effects of the change as text.
func (report *checkReport) print(invocation *cli.Context) {
	for _, mistake := range report.Mistakes {
		text := document.Mistake{Key: mistake.Key, Text: mistake.Text}
		if mistake.Line > 0 {
			writeLine(invocation, "%s:%d: %s", mistake.File, mistake.Line, text)
			continue
		}
		writeLine(invocation, "%s: %s", mistake.File, text)
	}
	if len(report.Mistakes) == 0 {
		writeLine(invocation, "no mistakes found")
	}
	if report.Change != nil {
		printChange(invocation, *report.Change)
	}
}

// effectTitles describes each kind of effect in the output.
var effectTitles = map[compare.Kind]string{
	compare.Refused:     "were permitted and would be refused",
	compare.Permitted:   "were refused and would be permitted",
	compare.Moved:       "would run on other engines or addresses",
	compare.Urgency:     "would have another class",
	compare.Deadline:    "would have another deadline",
	compare.Repeatable:  "would be treated otherwise as to repeats",
	compare.CallerKey:   "callers would have another API key",
	compare.CallerLimit: "callers would have another rate limit",
}

func printChange(invocation *cli.Context, change compare.Report) {
	writeLine(invocation, "version %d to %d, over %d pairs of a caller and what it may address:",
		change.FromVersion, change.ToVersion, change.Requests)
	if len(change.Effects) == 0 {
		writeLine(invocation, "  nothing changes for any request")
	}
	for _, effect := range change.Effects {
		writeLine(invocation, "  %d %s, for example:", effect.Count, effectTitles[effect.Kind])
		for _, example := range effect.Examples {
			writeLine(invocation, "    %s %s: %s -> %s", example.Caller, example.Target, orNone(example.Before), orNone(example.After))
		}
	}
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}
