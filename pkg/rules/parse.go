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
	MaxLineSize = 4096 // bytes; the longest legitimate lines are a few hundred
	// MaxFindings bounds the findings that are kept: 1 MiB of comment lines that
	// are not UTF-8 had 350,000 findings and took 147 MB.
	MaxFindings = 10_000
)

const byteOrderMark = "\xef\xbb\xbf"

// Parse reads a rules file; name is used in findings. It reports all findings
// of the text together. The rules of the lines without findings are returned
// in any case, so that they can be checked too, but a file with a finding must
// not be activated, not even in part.
func Parse(name string, text []byte) (File, finding.List) {
	p := parser{name: name, owners: map[methodPrefix]int{}}
	if len(text) > MaxFileSize {
		p.add(0, 0, fmt.Sprintf("file has %d bytes", len(text)), fmt.Sprintf("at most %d are allowed", MaxFileSize))
		return File{}, p.findings
	}
	count := 0
	for no, line := range splitLines(text) {
		if no == 1 && strings.HasPrefix(line, byteOrderMark) {
			p.add(no, 1, "file starts with a byte order mark", "save it as UTF-8 without one")
			line = line[len(byteOrderMark):]
		}
		if !isRuleLine(line) {
			p.checkUTF8(no, line)
			continue
		}
		if count++; count > MaxRules {
			p.add(no, 1, fmt.Sprintf("file has more than %d rules", MaxRules), "remove rules; the rest of the file was not read")
			break
		}
		p.line(no, line)
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
// line ends. Both LF and CRLF end a line.
func splitLines(text []byte) func(yield func(int, string) bool) {
	return func(yield func(int, string) bool) {
		no := 0
		for line := range bytes.Lines(text) {
			no++
			line = bytes.TrimSuffix(line, []byte("\n"))
			line = bytes.TrimSuffix(line, []byte("\r"))
			if !yield(no, string(line)) {
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

type methodPrefix struct{ method, host, prefix string }

// parser collects the rules and the findings of one file.
type parser struct {
	name     string
	file     File
	findings finding.List         // the first MaxFindings
	total    int                  // findings, also those that were left out
	owners   map[methodPrefix]int // line of the first rule for a method and prefix
}

func (p *parser) add(line, column int, message, suggestion string) {
	if p.total++; p.total <= MaxFindings {
		p.findings.Add(finding.Finding{File: p.name, Line: line, Column: column, Message: message, Suggestion: suggestion})
	}
}

// line parses one line. What it says is kept when the line has no finding.
func (p *parser) line(no int, line string) {
	before := p.total
	if len(line) > MaxLineSize {
		p.add(no, MaxLineSize+1, fmt.Sprintf("line has %d bytes", len(line)), fmt.Sprintf("at most %d are allowed", MaxLineSize))
		return
	}
	if !p.checkUTF8(no, line) {
		return
	}
	body, comment, hasComment := strings.Cut(line, "#")
	p.checkCharacters(no, body, comment)
	lp := lineParser{parser: p, no: no, words: splitWords(body), end: len(strings.TrimRightFunc(body, unicode.IsSpace)) + 1}
	isService := len(lp.words) > 0 && lp.words[0].text == "service"
	if isService {
		lp.service = &Service{Line: no}
		lp.parseService()
	} else {
		lp.rule = &Rule{Line: no}
		lp.parseRule()
	}
	author, reason := p.comment(no, len(body)+1, comment, hasComment)
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

// addRule keeps a rule unless an earlier one has its route already.
func (p *parser) addRule(r *Rule) {
	before := p.total
	p.checkDuplicate(r)
	if p.total == before {
		p.file.Rules = append(p.file.Rules, *r)
	}
}

// addService keeps the line of a service unless there is an earlier one.
func (p *parser) addService(s *Service) {
	for i := range p.file.Services {
		if first := &p.file.Services[i]; first.Name == s.Name {
			p.add(s.Line, 1, fmt.Sprintf("service %s: line %d describes it already", s.Name, first.Line), "keep one line for a service")
			return
		}
	}
	p.file.Services = append(p.file.Services, *s)
}

// checkServices reports lines of services that no route leads to.
func (p *parser) checkServices() {
	led := map[mesh.ServiceName]bool{}
	for i := range p.file.Rules {
		for _, v := range p.file.Rules[i].Destinations() {
			led[v.Service] = true
		}
	}
	for _, s := range p.file.Services {
		if !led[s.Name] {
			p.add(s.Line, 1, fmt.Sprintf("service %s: no route leads to it", s.Name), "correct the name, or remove the line")
		}
	}
}

// checkUTF8 reports the first invalid byte of a line.
func (p *parser) checkUTF8(no int, line string) bool {
	for i, c := range line {
		if c != utf8.RuneError {
			continue
		}
		if _, size := utf8.DecodeRuneInString(line[i:]); size == 1 {
			p.add(no, i+1, fmt.Sprintf("byte 0x%02x is not valid UTF-8", line[i]), "save the file as UTF-8")
			return false
		}
	}
	return true
}

// checkCharacters reports the first character of each kind that a rule must
// not contain. Invisible characters are refused in the rule itself, where they
// would make two names look alike; a comment may use them, because some
// scripts need them.
func (p *parser) checkCharacters(no int, body, comment string) {
	seen := map[rune]bool{}
	check := func(offset int, text string, isRefused func(rune) bool) {
		for i, c := range text {
			if !isRefused(c) || seen[c] {
				continue
			}
			seen[c] = true
			if c == '\t' {
				p.add(no, offset+i+1, "tab character", "separate words with spaces")
				continue
			}
			p.add(no, offset+i+1, fmt.Sprintf("character %U is not allowed here", c), "remove it")
		}
	}
	check(0, body, func(c rune) bool { return c != ' ' && !unicode.IsGraphic(c) || c != ' ' && unicode.IsSpace(c) })
	check(len(body)+1, comment, unicode.IsControl)
}

// comment reads the trailing comment that names who asked for the line.
func (p *parser) comment(no, column int, comment string, hasComment bool) (author, reason string) {
	const want = "end the line with # NAME: reason"
	if !hasComment {
		p.add(no, column, "rule has no trailing comment that names who asked for it", want)
		return "", ""
	}
	author, reason, hasColon := strings.Cut(comment, ":")
	author, reason = strings.TrimSpace(author), strings.TrimSpace(reason)
	switch {
	case !hasColon:
		p.add(no, column, "comment has no colon after a name", want)
	case author == "":
		p.add(no, column, "comment has no name before its colon", want)
	}
	return author, reason
}

// checkDuplicate reports a method and prefix that an earlier rule has already.
func (p *parser) checkDuplicate(r *Rule) {
	methods := methodsOf(r)
	for _, m := range methods {
		first, taken := p.owners[methodPrefix{m, r.Host, r.Prefix}]
		if taken {
			p.add(r.Line, 1, fmt.Sprintf("route %s: line %d already matches %s %s", r.Route(), first, m, r.Host+r.Prefix),
				"keep one rule for a method and prefix")
			return
		}
	}
	for _, m := range methods {
		p.owners[methodPrefix{m, r.Host, r.Prefix}] = r.Line
	}
}

// word is a space-separated part of a rule; column is in bytes from 1.
type word struct {
	text   string
	column int
}

// splitWords splits at any white space, so that a wrong kind of space, which is
// a finding of its own, hides no other finding.
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
