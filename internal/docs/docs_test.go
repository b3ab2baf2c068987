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

var (
	codeSpanRE       = regexp.MustCompile("`([^`]+)`")
	inlineLinkRE     = regexp.MustCompile(`\]\(\s*<?([^)\s>]+)`)
	linkDefinitionRE = regexp.MustCompile(`^\s*\[[^\]]+\]:\s*<?([^\s>]+)`)
	lineSuffixRE     = regexp.MustCompile(`:[0-9]+(-[0-9]+)?$`)
	goSymbolRE       = regexp.MustCompile(`\.\p{Lu}[^/]*$`)
	headingRE        = regexp.MustCompile(`^#{1,6}\s+(.*?)\s*#*$`)
)

// roots are the folders of the repository that a path in a code span starts with.
var rootFolders = []string{"cmd/", "pkg/", "internal/", "docs/", "examples/", "experiments/", ".ci/"}

// A fault is one problem of a page.
type fault struct {
	page   string
	line   int
	reason string
}

// String gives the form that editors follow.
func (f fault) String() string { return fmt.Sprintf("%s:%d: %s", f.page, f.line, f.reason) }

// A checker reads the pages of the tree at root. Pages are named by their
// slash-separated path from root.
type checker struct {
	root   string
	faults []fault
	// linked holds the pages that another page links to.
	linkedPages map[string]bool
}

// check returns every fault of the pages under root.
func checkPages(root string) ([]fault, error) {
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
			c.faults = append(c.faults, fault{p, 1, "no other page links to this page"})
		}
	}
	return c.faults, nil
}

// pages lists all Markdown files, hidden folders but for .ci left out.
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

// lines returns the lines of a page; those of fenced blocks are empty.
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

// link checks the target of a relative link and, on a page, its heading.
func (c *checker) checkLink(page string, line int, target string) {
	u, err := url.Parse(target)
	if err != nil {
		c.addFault(page, line, "link %s cannot be read", target)
		return
	}
	if u.Scheme != "" || u.Host != "" {
		return
	}
	to := page
	if u.Path != "" {
		to = filepath.ToSlash(filepath.Join(filepath.Dir(page), u.Path))
	}
	if strings.HasPrefix(u.Path, "/") || strings.HasPrefix(to, "../") || !c.exists(to) {
		c.addFault(page, line, "link %s: there is no such file in the repository", target)
		return
	}
	if to != page {
		c.linkedPages[to] = true
	}
	if u.Fragment != "" && filepath.Ext(to) == ".md" && !c.hasHeading(to, u.Fragment) {
		c.addFault(page, line, "link %s: the page has no such heading", target)
	}
}

// codeSpan checks the paths of the repository that a code span names, as in a
// command line.
func (c *checker) checkCodeSpan(page string, line int, span string) {
	for _, f := range strings.Fields(span) {
		p := strings.TrimPrefix(f, "./")
		if !startsInRootFolder(p) {
			continue
		}
		p = lineSuffixRE.ReplaceAllString(strings.TrimRight(p, ",;"), "")
		p = strings.TrimSuffix(p, "/...")
		if !c.exists(p) && !c.exists(goSymbolRE.ReplaceAllString(p, "")) {
			c.addFault(page, line, "%s: there is no such file or folder in the repository", f)
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

// exists reports whether the tree has the file or folder; path may be a
// pattern with stars.
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

// anchor returns the fragment that renderers give a heading.
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
	c.faults = append(c.faults, fault{page, line, fmt.Sprintf(format, args...)})
}

// Guards against pages that point at files which were moved, renamed or never
// written, and against pages that no reader finds.
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

// Guards against a check that passes over faults, and against one that finds
// faults in pages without any.
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
