package docs

import (
	"fmt"
	"io/fs"
	"net/url"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"unicode"

	"gotest.tools/v3/assert"
)

// Parts of a line of Markdown, and the suffixes of a path in a code span: a line
// number, or a Go symbol as in pkg/config.Accept.
var (
	codeSpanRE       = regexp.MustCompile("`([^`]+)`")
	inlineLinkRE     = regexp.MustCompile(`\]\(\s*<?([^)\s>]+)`)
	linkDefinitionRE = regexp.MustCompile(`^\s*\[[^\]]+\]:\s*<?([^\s>]+)`)
	lineSuffixRE     = regexp.MustCompile(`:[0-9]+(-[0-9]+)?$`)
	goSymbolRE       = regexp.MustCompile(`\.\p{Lu}[^/]*$`)
	headingRE        = regexp.MustCompile(`^#{1,6}\s+(.*?)\s*#*$`)
)

// rootFolders lists the folders with which a path in a code span begins. Code
// spans that begin otherwise are not checked.
var rootFolders = []string{"cmd/", "pkg/", "internal/", "docs/", "examples/", "experiments/", ".ci/"}

// A pageFault is a problem in one line of a page.
type pageFault struct {
	page   string
	line   int
	reason string
}

// String returns the fault in the form FILE:LINE: REASON, from which editors can
// open the line.
func (f pageFault) String() string { return fmt.Sprintf("%s:%d: %s", f.page, f.line, f.reason) }

// A checker checks the pages under the folder root. Pages are named by their
// slash-separated path from there.
type checker struct {
	root   string
	faults []pageFault
	// linkedPages holds the pages to which another page links.
	linkedPages map[string]bool
}

// checkPages returns all faults of the pages under root.
func checkPages(root string) ([]pageFault, error) {
	c := &checker{root: root, linkedPages: map[string]bool{}}
	pages, err := c.findPages()
	if err != nil {
		return nil, err
	}
	for _, p := range pages {
		if err := c.checkPage(p); err != nil {
			return nil, err
		}
	}
	for _, p := range pages {
		if strings.HasPrefix(p, "docs/") && !c.linkedPages[p] {
			c.faults = append(c.faults, pageFault{p, 1, "no other page links to this page"})
		}
	}
	return c.faults, nil
}

// findPages lists all Markdown files, except those in hidden folders other than
// .ci.
func (c *checker) findPages() ([]string, error) {
	var out []string
	err := filepath.WalkDir(c.root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && path != c.root && strings.HasPrefix(d.Name(), ".") && d.Name() != ".ci" {
			return filepath.SkipDir
		}
		if d.IsDir() || filepath.Ext(path) != ".md" {
			return nil
		}
		p, err := filepath.Rel(c.root, path)
		out = append(out, filepath.ToSlash(p))
		return err
	})
	return out, err
}

func (c *checker) checkPage(page string) error {
	lines, err := c.readLines(page)
	if err != nil {
		return err
	}
	for i, l := range lines {
		for _, m := range codeSpanRE.FindAllStringSubmatch(l, -1) {
			c.checkCodeSpan(page, i+1, m[1])
		}
		text := codeSpanRE.ReplaceAllString(l, "")
		for _, m := range append(inlineLinkRE.FindAllStringSubmatch(text, -1), linkDefinitionRE.FindAllStringSubmatch(text, -1)...) {
			c.checkLink(page, i+1, m[1])
		}
	}
	return nil
}

// readLines returns the lines of a page, with empty lines in place of fenced code
// blocks.
func (c *checker) readLines(page string) ([]string, error) {
	b, err := os.ReadFile(filepath.Join(c.root, page))
	if err != nil {
		return nil, err
	}
	lines, fence := strings.Split(string(b), "\n"), ""
	for i, l := range lines {
		t := strings.TrimSpace(l)
		switch {
		case fence != "" && strings.HasPrefix(t, fence):
			fence = ""
		case fence != "":
		case strings.HasPrefix(t, "```"), strings.HasPrefix(t, "~~~"):
			fence = t[:3]
		default:
			continue
		}
		lines[i] = ""
	}
	return lines, nil
}

// checkLink checks that the target of a relative link exists and, if the target
// is a page, that it has the heading of the fragment.
func (c *checker) checkLink(page string, line int, target string) {
	u, err := url.Parse(target)
	if err != nil {
		c.addFault(page, line, "link %s cannot be read", target)
		return
	}
	if u.Scheme != "" || u.Host != "" {
		return
	}
	linkedFile := page
	if u.Path != "" {
		linkedFile = filepath.ToSlash(filepath.Join(filepath.Dir(page), u.Path))
	}
	if strings.HasPrefix(u.Path, "/") || strings.HasPrefix(linkedFile, "../") || !c.exists(linkedFile) {
		c.addFault(page, line, "link %s: there is no such file in the repository", target)
		return
	}
	if linkedFile != page {
		c.linkedPages[linkedFile] = true
	}
	if u.Fragment != "" && filepath.Ext(linkedFile) == ".md" && !c.hasHeading(linkedFile, u.Fragment) {
		c.addFault(page, line, "link %s: the page has no such heading", target)
	}
}

// checkCodeSpan checks that the repository's files and folders named in a code
// span exist. A code span may be a whole command line.
func (c *checker) checkCodeSpan(page string, line int, span string) {
	for _, word := range strings.Fields(span) {
		p := strings.TrimPrefix(word, "./")
		if !startsInRootFolder(p) {
			continue
		}
		p = lineSuffixRE.ReplaceAllString(strings.TrimRight(p, ",;"), "")
		p = strings.TrimSuffix(p, "/...")
		if !c.exists(p) && !c.exists(goSymbolRE.ReplaceAllString(p, "")) {
			c.addFault(page, line, "%s: there is no such file or folder in the repository", word)
		}
	}
}

func startsInRootFolder(path string) bool {
	for _, r := range rootFolders {
		if strings.HasPrefix(path, r) {
			return true
		}
	}
	return false
}

// exists reports whether a file or folder exists under root. The path may contain
// the wildcards of filepath.Glob.
func (c *checker) exists(path string) bool {
	found, err := filepath.Glob(filepath.Join(c.root, path))
	return err == nil && len(found) > 0
}

func (c *checker) hasHeading(page, fragment string) bool {
	lines, err := c.readLines(page)
	if err != nil {
		return false
	}
	for _, l := range lines {
		if m := headingRE.FindStringSubmatch(l); m != nil && headingAnchor(m[1]) == fragment {
			return true
		}
	}
	return false
}

// headingAnchor returns the URL fragment that Markdown renderers give a heading.
func headingAnchor(heading string) string {
	return strings.Map(func(r rune) rune {
		switch {
		case r == ' ':
			return '-'
		case unicode.IsLetter(r), unicode.IsDigit(r), r == '-', r == '_':
			return unicode.ToLower(r)
		default:
			return -1
		}
	}, heading)
}

func (c *checker) addFault(page string, line int, format string, args ...any) {
	c.faults = append(c.faults, pageFault{page, line, fmt.Sprintf(format, args...)})
}

// Guards against pages that name files which were moved, renamed or never
// written, and against pages to which no other page links.
func TestPages(t *testing.T) {
	root, err := filepath.Abs("../..")
	assert.NilError(t, err)
	_, err = os.Stat(filepath.Join(root, "go.mod"))
	assert.NilError(t, err)
	faults, err := checkPages(root)
	assert.NilError(t, err)
	for _, f := range faults {
		t.Error(f)
	}
}

// Guards against a check that misses faults, and against one that reports faults
// in correct pages.
func TestCheckFindsFaults(t *testing.T) {
	root := t.TempDir()
	for name, text := range map[string]string{
		"pkg/gate/gate.go": "package gate\n",
		"README.md":        "# Top\n[docs](docs/README.md)\n",
		"docs/README.md": "# Index\n[a](a.md#two-words) [site](https://example.org/x.md) [top](#index)\n" +
			"`pkg/gate`, `./pkg/gate/gate.go:3`, `go test ./pkg/...`, `pkg/gate.Gate`, `pkg/*/gate.go`, `a/b`\n" +
			"```\n[x](gone.md) `pkg/gone`\n```\n",
		"docs/a.md": "## Two words\n[gone](gone.md) and `[x](y.md)`\n`pkg/gone`\n`go test ./pkg/gone`\n" +
			"[heading](README.md#gone)\n[outside](../../x.md)\n\n[r]: gone.md\n[self](a.md)\n",
		"docs/alone.md": "[self](alone.md)\n",
	} {
		p := filepath.Join(root, name)
		assert.NilError(t, os.MkdirAll(filepath.Dir(p), 0o755))
		assert.NilError(t, os.WriteFile(p, []byte(text), 0o600))
	}
	faults, err := checkPages(root)
	assert.NilError(t, err)
	var got []string
	for _, f := range faults {
		got = append(got, f.String())
	}
	assert.DeepEqual(t, got, []string{
		"docs/a.md:2: link gone.md: there is no such file in the repository",
		"docs/a.md:3: pkg/gone: there is no such file or folder in the repository",
		"docs/a.md:4: ./pkg/gone: there is no such file or folder in the repository",
		"docs/a.md:5: link README.md#gone: the page has no such heading",
		"docs/a.md:6: link ../../x.md: there is no such file in the repository",
		"docs/a.md:8: link gone.md: there is no such file in the repository",
		"docs/alone.md:1: no other page links to this page",
	})
}
