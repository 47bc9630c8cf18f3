// Command page makes the tables of docs/CAPACITY.md from the rows in docs/capacity, in the folder where it is started.
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
