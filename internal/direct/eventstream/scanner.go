// Package eventstream finds the complete events of a stream of server-sent events, and the id after which the
// stream can be resumed. It reads the format that the HTML standard gives in "Server-sent events", and
// changes no byte.
package eventstream

import "bytes"

// maxIDBytes bounds the ids after which a stream can be resumed: an id has to fit into the head of a request.
const maxIDBytes = 4096

// byteOrderMark may stand at the start of a stream.
var byteOrderMark = []byte("\xef\xbb\xbf")

// TrimMark returns the start of a stream without a byte order mark.
func TrimMark(start []byte) []byte {
	return bytes.TrimPrefix(start, byteOrderMark)
}

// Scanner scans a stream as it arrives. The caller keeps its bytes, calls Scan whenever there are more, and
// Drop once it has dropped the complete ones.
type Scanner struct {
	Complete int // bytes at the start of those kept that are complete events
	Events   int // complete events since the last Drop

	scanned   int  // bytes kept that have been scanned
	lineStart int  // start of the present line in them
	started   bool // the first line has ended
	afterCR   bool // the last line ended with CR; LF at once is part of its end

	present block
	id      []byte // of the last event with one; the standard's last event id
	exact   bool   // no event without an id of its own has come since
}

// block is what the lines since the last empty one say.
type block struct {
	hasData, hasID bool
	id             []byte
}

// NewScanner returns a scanner for a stream that goes on after an event with the given id, or begins if the
// id is empty.
func NewScanner(id string) *Scanner {
	return &Scanner{id: []byte(id), exact: true}
}

// Scan scans the bytes of kept that it has not seen. Kept must begin where the last Drop left off.
func (scanner *Scanner) Scan(kept []byte) {
	for scanner.scanned < len(kept) {
		if scanner.skipLineFeed(kept) {
			continue
		}
		length := lineLength(kept[scanner.scanned:])
		if length < 0 {
			scanner.scanned = len(kept)
			return
		}
		end := scanner.scanned + length
		line := kept[scanner.lineStart:end]
		scanner.afterCR = kept[end] == '\r'
		scanner.scanned = end + 1
		scanner.lineStart = scanner.scanned
		scanner.endLine(line)
	}
}

// Drop forgets the complete bytes.
func (scanner *Scanner) Drop() {
	scanner.scanned -= scanner.Complete
	scanner.lineStart -= scanner.Complete
	scanner.Complete = 0
	scanner.Events = 0
}

// ResumeID returns the id after which the stream goes on with the first byte that is not complete, or an
// empty text if there is none: events without ids would come twice, and some ids fit into no header.
func (scanner *Scanner) ResumeID() string {
	if !scanner.exact || !fitsHeader(scanner.id) {
		return ""
	}
	return string(scanner.id)
}

// skipLineFeed skips the second byte of a line's end.
func (scanner *Scanner) skipLineFeed(kept []byte) bool {
	skips := scanner.afterCR && kept[scanner.scanned] == '\n'
	scanner.afterCR = false
	if !skips {
		return false
	}
	if scanner.Complete == scanner.scanned {
		scanner.Complete++
	}
	scanner.scanned++
	scanner.lineStart = scanner.scanned
	return true
}

// endLine takes in a line without its end.
func (scanner *Scanner) endLine(line []byte) {
	if !scanner.started {
		scanner.started = true
		line = TrimMark(line)
	}
	if len(line) == 0 {
		scanner.endBlock()
		return
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch string(name) {
	case "data":
		scanner.present.hasData = true
	case "id":
		scanner.present.setID(bytes.TrimPrefix(value, []byte(" ")))
	}
}

// endBlock takes in the lines since the last empty one.
func (scanner *Scanner) endBlock() {
	scanner.Complete = scanner.scanned
	scanner.Events++
	if scanner.present.hasID {
		scanner.id = append(scanner.id[:0], scanner.present.id...)
		scanner.exact = true
	} else if scanner.present.hasData {
		scanner.exact = false
	}
	scanner.present.hasData = false
	scanner.present.hasID = false
}

// setID keeps the value of an id field. One with NUL is ignored.
func (block *block) setID(value []byte) {
	if bytes.IndexByte(value, 0) >= 0 {
		return
	}
	block.hasID = true
	block.id = append(block.id[:0], value...)
}

// lineLength returns the length of the first line without its end, or -1 if it has not ended.
func lineLength(text []byte) int {
	for i, character := range text {
		if character == '\n' || character == '\r' {
			return i
		}
	}
	return -1
}

// fitsHeader reports whether a header can carry an id without a change.
func fitsHeader(id []byte) bool {
	if len(id) == 0 || len(id) > maxIDBytes || len(bytes.Trim(id, " \t")) < len(id) {
		return false
	}
	for _, character := range id {
		if character < ' ' && character != '\t' || character == 0x7f {
			return false
		}
	}
	return true
}
