// Command quetzaldock runs the node beside a backend server and the tools of
// its operators.
package main

func main() {
}
