// Package docs holds the checks of the project's pages: that what they link to
// and the files they name exist, and that every page can be found from another.
package docs
