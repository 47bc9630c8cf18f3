// Command page regenerates the tables of docs/CAPACITY.md from the rows in docs/capacity. Both paths are relative to
// the working directory.
package main

import (
	"fmt"
	"os"

	"tinsail/internal/lab/capacity"
)

func main() {
	if err := capacity.UpdatePage("docs/CAPACITY.md", "docs/capacity"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
