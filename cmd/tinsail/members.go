package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
)

func membersCommand() *cobra.Command {
	var address string
	var asJSON bool
	c := &cobra.Command{
		Use: "members", Short: "Print the backends of a running dispatcher, with the reason for each one's state",
		Long: `members asks a running dispatcher where its backends come from and what state each is in. It
answers where the settings name sources beside the platform's director: consul(...) or backends(...).

Exit codes: 0 done, 1 no answer, 2 faulty flags.`,
		Example: `  tinsail members --at 127.0.0.1:8081
  tinsail members --at 127.0.0.1:8081 --json`,
		RunE: func(c *cobra.Command, _ []string) error {
			if address == "" {
				return inputError{errors.New("--at is missing, want the host:port of a dispatcher's HTTP/1.1 front")}
			}
			client := &http.Client{Timeout: 5 * time.Second}
			answer, err := client.Get("http://" + address + "/members")
			if err != nil {
				return err
			}
			defer answer.Body.Close()
			text, err := io.ReadAll(io.LimitReader(answer.Body, 64<<20))
			if err != nil {
				return err
			}
			if answer.StatusCode != http.StatusOK {
				return fmt.Errorf("%s answered %d: it has no list of members, or is no dispatcher", address, answer.StatusCode)
			}
			if asJSON {
				fmt.Fprintln(c.OutOrStdout(), string(text))
				return nil
			}
			var v membersView
			if err := json.Unmarshal(text, &v); err != nil {
				return err
			}
			v.printTables(c.OutOrStdout())
			return nil
		},
	}
	c.Flags().StringVar(&address, "at", "", "address of the dispatcher's HTTP/1.1 front, host:port")
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON as it came")
	return c
}

// printTables prints a table of the sources and one of the backends.
func (v *membersView) printTables(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	age := func(ms int64) time.Duration {
		return (time.Duration(ms) * time.Millisecond).Round(100 * time.Millisecond)
	}
	fmt.Fprintln(w, "source\tstate\tlast news\tbackends\tdown")
	for _, s := range v.Sources {
		fmt.Fprintf(w, "%s\t%s\t%v\t%d\t%d\n", s.Name, s.State, age(s.AgeMS), s.Backends, s.Down)
	}
	fmt.Fprintln(w, "\nbackend\taddress\tstate\tsource\tweight\treason")
	for _, m := range v.Members {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%g\t%s\n", m.Name, m.Address, m.State, m.Source, m.Weight, m.Reason)
	}
	w.Flush()
}
