// Command fescuehub is the one binary of the load balancer: daemons, operator
// commands, stand-ins for tests, and the demo.
package main

import (
	"os"

	"github.com/fescuehub/fescuehub/pkg/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
