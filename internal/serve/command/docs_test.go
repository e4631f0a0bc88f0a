package command_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/decide/outcome"
	"teaselmoor/internal/serve/command"
	"teaselmoor/internal/serve/metrics"
)

const docs = "../../../docs/"

// tableRows returns the first column of every table row of a page.
func tableRows(t testing.TB, page string) string {
	t.Helper()
	text, err := os.ReadFile(docs + page)
	require.NoError(t, err)
	var rows strings.Builder
	for _, line := range strings.Split(string(text), "\n") {
		if cells := strings.Split(line, "|"); len(cells) > 2 {
			rows.WriteString(cells[1] + "\n")
		}
	}
	return rows.String()
}

// TestOperationsPageIsComplete looks for a row for each code and metric.
func TestOperationsPageIsComplete(t *testing.T) {
	rows := tableRows(t, "OPERATIONS.md")
	for _, reason := range outcome.Reasons() {
		require.Regexp(t, `\b`+string(reason)+`\b`, rows, "reason code")
	}
	for _, name := range metrics.Names() {
		require.Regexp(t, `\b`+name+`\b`, rows, "metric")
	}
}

var linkTarget = regexp.MustCompile(`\]\(([^)#:]+)(#[^)]*)?\)`)

// TestLinksLead follows every link between the project's own pages.
func TestLinksLead(t *testing.T) {
	pages, err := filepath.Glob(docs + "*.md")
	require.NoError(t, err)
	for _, page := range append(pages, docs+"../README.md") {
		text, err := os.ReadFile(page)
		require.NoError(t, err)
		for _, link := range linkTarget.FindAllStringSubmatch(string(text), -1) {
			_, err := os.Stat(filepath.Join(filepath.Dir(page), link[1]))
			require.NoError(t, err, page)
		}
	}
}

// TestDocumentedCommandsExist looks up each command that a page shows.
func TestDocumentedCommandsExist(t *testing.T) {
	known := map[string]bool{"help": true}
	for _, each := range command.New().Commands {
		known[each.Name] = true
	}
	shown := regexp.MustCompile("(?:`|    |cmd/)teaselmoor ([a-z-]+)")
	for _, page := range []string{"OPERATIONS.md", "CONFIGURATION.md", "SETTINGS.md", "DEVELOPERS.md", "../README.md"} {
		text, err := os.ReadFile(docs + page)
		require.NoError(t, err)
		for _, found := range shown.FindAllStringSubmatch(string(text), -1) {
			require.True(t, known[found[1]], "%s: teaselmoor %s", page, found[1])
		}
	}
}

// TestLayoutIsComplete looks for each area of the source on the developers' page.
func TestLayoutIsComplete(t *testing.T) {
	text, err := os.ReadFile(docs + "DEVELOPERS.md")
	require.NoError(t, err)
	areas, err := os.ReadDir("../..")
	require.NoError(t, err)
	for _, area := range areas {
		require.Contains(t, string(text), "internal/"+area.Name()+"/")
	}
}
