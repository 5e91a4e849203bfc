package rules

import (
	"bytes"
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"

	"nutmeghoist.example/nutmeghoist/pkg/finding"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// Limits of a rules file.
const (
	MaxFileSize = 1 << 20 // bytes
	MaxRules    = 10_000
	MaxLineSize = 4096 // bytes; the longest legitimate lines have a few hundred
	// MaxFindings bounds memory use: 1 MiB of comment lines with invalid UTF-8
	// gave 350,000 findings that took 147 MB.
	MaxFindings = 10_000
)

const byteOrderMark = "\xef\xbb\xbf"

// Parse parses a rules file; name is the file name in findings. It returns all
// findings of the text together. The rules of lines without findings are returned
// in any case, so that they can be checked too, but a file with findings must not
// be activated, not even in part.
func Parse(name string, text []byte) (File, finding.List) {
	p := parser{name: name, firstLines: map[matchKey]int{}}
	if len(text) > MaxFileSize {
		p.add(0, 0, fmt.Sprintf("file has %d bytes", len(text)), fmt.Sprintf("at most %d are allowed", MaxFileSize))
		return File{}, p.findings
	}
	count := 0
	for lineNo, line := range splitLines(text) {
		if lineNo == 1 && strings.HasPrefix(line, byteOrderMark) {
			p.add(lineNo, 1, "file starts with a byte order mark", "save it as UTF-8 without one")
			line = line[len(byteOrderMark):]
		}
		if !isRuleLine(line) {
			p.checkUTF8(lineNo, line)
			continue
		}
		if count++; count > MaxRules {
			p.add(lineNo, 1, fmt.Sprintf("file has more than %d rules", MaxRules), "remove rules; the rest of the file was not read")
			break
		}
		p.parseLine(lineNo, line)
	}
	if p.total == 0 {
		p.checkServices()
	}
	if p.total > MaxFindings {
		p.findings.Add(finding.Finding{File: name, Message: fmt.Sprintf("%d further findings are left out", p.total-MaxFindings)})
	}
	return p.file, p.findings
}

// splitLines yields the lines of a text with their numbers from 1, without the
// line endings. A line ends with LF or CRLF.
func splitLines(text []byte) func(yield func(int, string) bool) {
	return func(yield func(int, string) bool) {
		lineNo := 0
		for line := range bytes.Lines(text) {
			lineNo++
			line = bytes.TrimSuffix(line, []byte("\n"))
			line = bytes.TrimSuffix(line, []byte("\r"))
			if !yield(lineNo, string(line)) {
				return
			}
		}
	}
}

// isRuleLine reports whether a line is neither blank nor a whole-line comment.
func isRuleLine(line string) bool {
	line = strings.TrimLeft(line, " \t")
	return line != "" && line[0] != '#'
}

type matchKey struct{ method, host, prefix string }

// parser collects the rules and the findings of one file.
type parser struct {
	name       string
	file       File
	findings   finding.List     // the first MaxFindings
	total      int              // number of findings, including those left out
	firstLines map[matchKey]int // line of the first rule for each key
}

func (p *parser) add(line, column int, message, suggestion string) {
	if p.total++; p.total <= MaxFindings {
		p.findings.Add(finding.Finding{File: p.name, Line: line, Column: column, Message: message, Suggestion: suggestion})
	}
}

// parseLine parses one line and keeps its rule or service if there is no finding.
func (p *parser) parseLine(lineNo int, line string) {
	before := p.total
	if len(line) > MaxLineSize {
		p.add(lineNo, MaxLineSize+1, fmt.Sprintf("line has %d bytes", len(line)), fmt.Sprintf("at most %d are allowed", MaxLineSize))
		return
	}
	if !p.checkUTF8(lineNo, line) {
		return
	}
	body, comment, hasComment := strings.Cut(line, "#")
	p.checkCharacters(lineNo, body, comment)
	lp := lineParser{parser: p, lineNo: lineNo, words: splitWords(body), end: len(strings.TrimRightFunc(body, unicode.IsSpace)) + 1}
	isService := len(lp.words) > 0 && lp.words[0].text == "service"
	if isService {
		lp.service = &Service{Line: lineNo}
		lp.parseService()
	} else {
		lp.rule = &Rule{Line: lineNo}
		lp.parseRule()
	}
	author, reason := p.parseComment(lineNo, len(body)+1, comment, hasComment)
	switch {
	case p.total > before:
	case isService:
		lp.service.Author, lp.service.Reason = author, reason
		p.addService(lp.service)
	default:
		lp.rule.Author, lp.rule.Reason = author, reason
		p.addRule(lp.rule)
	}
}

// addRule keeps a rule unless an earlier one matches the same requests.
func (p *parser) addRule(r *Rule) {
	before := p.total
	p.checkDuplicate(r)
	if p.total == before {
		p.file.Rules = append(p.file.Rules, *r)
	}
}

// addService keeps a service unless an earlier line describes it.
func (p *parser) addService(s *Service) {
	for i := range p.file.Services {
		if first := &p.file.Services[i]; first.Name == s.Name {
			p.add(s.Line, 1, fmt.Sprintf("service %s: line %d describes it already", s.Name, first.Line), "keep one line for a service")
			return
		}
	}
	p.file.Services = append(p.file.Services, *s)
}

// checkServices reports services that no route leads to.
func (p *parser) checkServices() {
	isRouted := map[mesh.ServiceName]bool{}
	for i := range p.file.Rules {
		for _, v := range p.file.Rules[i].Destinations() {
			isRouted[v.Service] = true
		}
	}
	for _, s := range p.file.Services {
		if !isRouted[s.Name] {
			p.add(s.Line, 1, fmt.Sprintf("service %s: no route leads to it", s.Name), "correct the name, or remove the line")
		}
	}
}

// checkUTF8 reports the first invalid byte of a line.
func (p *parser) checkUTF8(lineNo int, line string) bool {
	for i, c := range line {
		if c != utf8.RuneError {
			continue
		}
		if _, size := utf8.DecodeRuneInString(line[i:]); size == 1 {
			p.add(lineNo, i+1, fmt.Sprintf("byte 0x%02x is not valid UTF-8", line[i]), "save the file as UTF-8")
			return false
		}
	}
	return true
}

// checkCharacters reports the first occurrence of each character that is not
// allowed. Invisible characters are rejected in the rule itself, because they
// would make different names look alike. They are allowed in a comment, because
// some scripts need them, but control characters are not.
func (p *parser) checkCharacters(lineNo int, body, comment string) {
	seen := map[rune]bool{}
	check := func(offset int, text string, isRejected func(rune) bool) {
		for i, c := range text {
			if !isRejected(c) || seen[c] {
				continue
			}
			seen[c] = true
			if c == '\t' {
				p.add(lineNo, offset+i+1, "tab character", "separate words with spaces")
				continue
			}
			p.add(lineNo, offset+i+1, fmt.Sprintf("character %U is not allowed here", c), "remove it")
		}
	}
	check(0, body, func(c rune) bool { return c != ' ' && !unicode.IsGraphic(c) || c != ' ' && unicode.IsSpace(c) })
	check(len(body)+1, comment, unicode.IsControl)
}

// parseComment parses the trailing comment, which names who asked for the line.
func (p *parser) parseComment(lineNo, column int, comment string, hasComment bool) (author, reason string) {
	const want = "end the line with # NAME: reason"
	if !hasComment {
		p.add(lineNo, column, "rule has no trailing comment that names who asked for it", want)
		return "", ""
	}
	author, reason, hasColon := strings.Cut(comment, ":")
	author, reason = strings.TrimSpace(author), strings.TrimSpace(reason)
	switch {
	case !hasColon:
		p.add(lineNo, column, "comment has no colon after a name", want)
	case author == "":
		p.add(lineNo, column, "comment has no name before its colon", want)
	}
	return author, reason
}

// checkDuplicate reports a rule with the method, host and prefix of an earlier one.
func (p *parser) checkDuplicate(r *Rule) {
	methods := methodsOf(r)
	for _, m := range methods {
		first, isTaken := p.firstLines[matchKey{m, r.Host, r.Prefix}]
		if isTaken {
			p.add(r.Line, 1, fmt.Sprintf("route %s: line %d already matches %s %s", r.Route(), first, m, r.Host+r.Prefix),
				"keep one rule for a method and prefix")
			return
		}
	}
	for _, m := range methods {
		p.firstLines[matchKey{m, r.Host, r.Prefix}] = r.Line
	}
}

// word is a space-separated part of a rule; column is in bytes from 1.
type word struct {
	text   string
	column int
}

// splitWords splits at any white space. Spaces of a wrong kind are reported by
// checkCharacters and must not hide other findings.
func splitWords(body string) []word {
	var words []word
	start := -1
	for i, c := range body {
		switch isSpace := unicode.IsSpace(c); {
		case isSpace && start >= 0:
			words = append(words, word{body[start:i], start + 1})
			start = -1
		case !isSpace && start < 0:
			start = i
		}
	}
	if start >= 0 {
		words = append(words, word{body[start:], start + 1})
	}
	return words
}
