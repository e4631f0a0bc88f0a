package settings

import (
	"fmt"
	"strings"
)

// pageHead opens the page of settings.
const pageHead = `# Settings

A daemon reads its settings from one YAML file at its start:
` + "`teaselmoor serve -settings FILE`" + `. Keys are spelled as below; an unknown key, a
wrong type or a value out of range stops the start, and all such mistakes are
listed with line and key. ` + "`teaselmoor check -settings FILE`" + ` does the same without
starting anything. A setting without a default must be given.

This page is made by ` + "`teaselmoor settings -markdown`" + ` from the comments in
internal/base/settings/fields.go; a test compares the two.

`

// Page writes the settings as a Markdown page.
func Page() (string, error) {
	entries, err := Describe()
	if err != nil {
		return "", err
	}
	var page strings.Builder
	page.WriteString(pageHead + "## Identity and addresses\n\n" + tableHead)
	for _, entry := range entries {
		if entry.Section {
			fmt.Fprintf(&page, "\n## %s\n\n%s\n\n%s", entry.Key, entry.Doc, tableHead)
			continue
		}
		fmt.Fprintf(&page, "| %s | %s | %s | %s |\n", entry.Key, orNone(entry.Default), entry.Allowed, entry.Doc)
	}
	return page.String(), nil
}

const tableHead = "| key | default | allowed | meaning |\n| --- | --- | --- | --- |\n"

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}

// Template writes the defaults as a YAML file with comments, for an operator to
// complete.
func Template() (string, error) {
	entries, err := Describe()
	if err != nil {
		return "", err
	}
	var text strings.Builder
	for i, entry := range entries {
		if entry.Section || i == 0 {
			text.WriteString(strings.Repeat("\n", min(i, 1)))
		}
		writeEntry(&text, entry)
	}
	return text.String(), nil
}

const commentWidth = 76 // characters of a comment line, without its indent

func writeEntry(text *strings.Builder, entry Entry) {
	section, name, nested := strings.Cut(entry.Key, ".")
	indent := ""
	if nested {
		indent = "  "
	} else {
		name = section
	}
	comment := entry.Doc
	if entry.Allowed != "" {
		comment += " Allowed: " + entry.Allowed + "."
	}
	for _, line := range wrap(comment, commentWidth) {
		text.WriteString(indent + "# " + line + "\n")
	}
	switch {
	case entry.Section:
		text.WriteString(name + ":\n")
	case entry.Default == "":
		text.WriteString(indent + name + ": \"\"\n")
	default:
		text.WriteString(indent + name + ": " + entry.Default + "\n")
	}
}

// wrap breaks a text into lines at spaces.
func wrap(text string, width int) []string {
	var lines []string
	line := ""
	for _, word := range strings.Fields(text) {
		if line != "" && len(line)+1+len(word) > width {
			lines = append(lines, line)
			line = ""
		}
		line = strings.TrimPrefix(line+" "+word, " ")
	}
	return append(lines, line)
}
