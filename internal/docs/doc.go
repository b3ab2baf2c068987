// Package docs tests the project's Markdown pages: the link targets and the files
// that they name must exist, and another page must link to every page under docs.
// The package consists of tests only.
package docs
