package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"tinsail/internal/door"
)

// callTimeout limits a whole call to the operators' control listener (the door), which answers within one second.
const callTimeout = 3 * time.Second

// callDoor makes one call to a dispatcher's operators' control listener. err is set if there was no answer.
func callDoor(address string, c door.Call) (ok bool, message string, err error) {
	method, path := c.MethodAndPath()
	req, err := http.NewRequest(method, "http://"+address+path, nil)
	if err != nil {
		return false, "", err
	}
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Do(req)
	if err != nil {
		return false, "", err
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(io.LimitReader(answer.Body, 4<<10))
	if err != nil {
		return false, "", err
	}
	return answer.StatusCode/100 == 2, strings.TrimSpace(string(body)), nil
}

func controlCommand() *cobra.Command {
	var address string
	c := &cobra.Command{
		Use: "control", Short: "Call a running dispatcher at its operators' door",
		Long: `control makes one call at the door of a running dispatcher: the address that its
configuration names as admin, or ROUTER_ADMIN. Calls may be repeated.

Exit codes: 0 yes, 1 no (the reason is printed), 2 no answer, or faulty flags.`,
		Example: `  tinsail control ready --admin 127.0.0.1:8090
  tinsail control offline s-5be2a07c --admin 127.0.0.1:8090
  tinsail control online s-5be2a07c --admin 127.0.0.1:8090
  tinsail control out-of-service --admin 127.0.0.1:8090`,
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	c.PersistentFlags().StringVar(&address, "admin", "", "address of the door, host:port")
	for _, sub := range []struct {
		use, short string
		op         door.Operation
	}{
		{"ready", "Ask whether this process serves", door.Ready},
		{"offline ID", "Send nothing more to a backend", door.Offline},
		{"online ID", "Use a backend again", door.Online},
		{"out-of-service", "Drain the dispatcher: not ready, answers what comes, and runs on", door.OutOfService},
		{"in-service", "Take clients again", door.InService},
	} {
		named := strings.HasSuffix(sub.use, " ID")
		c.AddCommand(&cobra.Command{Use: sub.use, Short: sub.short, Long: sub.short + ".\n\nExit codes: 0 yes, 1 no, 2 no answer, or faulty flags.",
			Args: func(c *cobra.Command, args []string) error {
				if named && len(args) != 1 {
					return inputError{fmt.Errorf("%s wants one backend's id, see %s --help", c.CommandPath(), c.CommandPath())}
				}
				if !named {
					return noArgs(c, args)
				}
				return nil
			},
			RunE: func(c *cobra.Command, args []string) error {
				if _, _, err := net.SplitHostPort(address); err != nil {
					return inputError{fmt.Errorf("--admin is %q, want the host:port of a dispatcher's door", address)}
				}
				request := door.Call{Operation: sub.op}
				if named {
					request.Backend = args[0]
				}
				ok, message, err := callDoor(address, request)
				switch {
				case err != nil:
					return inputError{fmt.Errorf("no answer: %w", err)}
				case !ok:
					return errors.New("no: " + message)
				}
				fmt.Fprintln(c.OutOrStdout(), "yes: "+message)
				return nil
			}})
	}
	return c
}
