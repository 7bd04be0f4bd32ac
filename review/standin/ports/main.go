// Command ports prints free TCP ports of the loopback address 127.0.0.1, one for each argument.
package main

import (
	"fmt"
	"net"
	"os"
)

func main() {
	for range os.Args[1:] {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
		defer listener.Close() // only at the end, so that no port is printed twice
		fmt.Println(listener.Addr().(*net.TCPAddr).Port)
	}
}
