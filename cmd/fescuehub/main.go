// Command fescuehub is the load balancer binary. It contains the daemons, the operator
// commands, the stand-ins for tests, and the demo.
package main

import (
	"os"

	"github.com/fescuehub/fescuehub/pkg/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
