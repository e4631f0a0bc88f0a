package gateway

import "strings"

// contentNames formats the contents of lost requests for the log.
func contentNames(lost []lostRequest) []string {
	names := make([]string, len(lost))
	for i, request := range lost {
		names[i] = request.Keys[0].String()
	}
	return names
}

// lostParts formats the prompts of lost requests for the log, each as the names of its parts.
func lostParts(lost []lostRequest) []string {
	prompts := make([]string, len(lost))
	for i, request := range lost {
		prompts[i] = strings.Join(request.parts, ",")
	}
	return prompts
}

// maxLoggedParts bounds the parts of a prompt that are logged, and maxPartName the length of their names in bytes.
const (
	maxLoggedParts = 16
	maxPartName    = 64
)

// partNames returns the names of the first parts of the request's prompt, in order.
func (job *job) partNames() []string {
	parts := job.headers.Parts[:min(len(job.headers.Parts), maxLoggedParts)]
	names := make([]string, len(parts))
	for i, part := range parts {
		names[i] = part.ID[:min(len(part.ID), maxPartName)]
	}
	return names
}
