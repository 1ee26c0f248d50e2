// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/user"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"lynxramp.org/catalog"
	"lynxramp.org/event"
	"lynxramp.org/internal/bounded"
	"lynxramp.org/rpc"
	"lynxramp.org/settings"
	"lynxramp.org/store"
)

// commandTimeout bounds one attempt of a command at one control box.
const commandTimeout = 5 * time.Second

// remote has the flags for calling the control boxes.
type remote struct {
	Control []string `required:"" help:"Addresses of the control boxes (IP:port), with commas."`
	KeyFile string   `required:"" type:"existingfile" help:"File of the operators' key."`
}

// callLeader calls the control boxes in turn until the leader responds. If
// none is the leader, it returns the error of the last call.
func (r remote) callLeader(ctx context.Context, call func(ctx context.Context, o rpc.Operator) (leads bool, err error)) error {
	key, err := settings.ReadKey(r.KeyFile)
	if err != nil {
		return err
	}
	client := rpc.NewClient(key, bounded.NewTransport(&net.Dialer{}))
	var lastErr error
	for _, address := range r.Control {
		ctx, cancel := context.WithTimeout(ctx, commandTimeout)
		leads, err := call(ctx, rpc.NewOperatorProtobufClient("http://"+address, client))
		cancel()
		if err == nil && leads {
			return nil
		}
		lastErr = errors.Wrap(err, address)
	}
	if lastErr != nil {
		return lastErr
	}
	return errors.New("no control box is the leader")
}

type showCommand struct {
	remote
	Catalog bool `help:"Print the catalog as JSON instead, as 'apply' takes it."`
}

func (c *showCommand) Run(ctx context.Context) error {
	return c.callLeader(ctx, func(ctx context.Context, o rpc.Operator) (bool, error) {
		r, err := o.Show(ctx, &rpc.ShowRequest{})
		if err != nil || !r.Leads {
			return false, err
		}
		if c.Catalog {
			fmt.Println(string(r.Catalog))
			return true, nil
		}
		return true, printStatus(r)
	})
}

func printStatus(r *rpc.ShowResponse) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "owner %s\tepoch %d\tcatalog version %d\n\n", r.Leader, r.Epoch, r.Version)
	fmt.Fprintln(w, "box\tcatalog in force\tsilent")
	for _, b := range r.Boxes {
		fmt.Fprintf(w, "%s\t%d\t%v\n", b.Box, b.Version, time.Duration(b.SilentMs)*time.Millisecond)
	}
	fmt.Fprintln(w, "\npool\tendpoint\twaiting\trunning\tserves")
	for _, p := range r.Pools {
		fmt.Fprintf(w, "%s\t\t%d\t%d\t\n", p.Name, p.Waiting, p.Running)
		for _, e := range p.Endpoints {
			fmt.Fprintf(w, "\t%s\t\t%d\t%v\n", e.Name, e.Running, e.Serves)
		}
	}
	return errors.Wrap(w.Flush(), "table")
}

type applyCommand struct {
	remote
	File   string `arg:"" type:"existingfile" help:"JSON list of changes, like [{\"tier\":{\"name\":\"gold\",\"rank\":3}}]."`
	Expect uint64 `required:"" help:"Version of the catalog that the changes are meant for."`
	ID     string `help:"Id of the command; give the one that was printed to send it again."`
}

func (c *applyCommand) Run(ctx context.Context) error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return errors.Wrap(err, "changes")
	}
	var changes []catalog.Change
	if err := json.Unmarshal(data, &changes); err != nil {
		return errors.Wrap(err, c.File)
	}
	if c.ID == "" {
		c.ID = rand.Text()
	}
	return c.apply(ctx, c.ID, c.Expect, changes)
}

// apply sends a command to the leader and prints the result. After an error the
// command may or may not have been accepted; a retry with the same id is safe.
func (r remote) apply(ctx context.Context, id string, expect uint64, changes []catalog.Change) error {
	data, err := json.Marshal(changes)
	if err != nil {
		return errors.Wrap(err, "changes")
	}
	request := &rpc.ApplyRequest{Id: id, Operator: operatorName(), Expect: expect, Changes: data}
	var result *rpc.ApplyResponse
	err = r.callLeader(ctx, func(ctx context.Context, o rpc.Operator) (bool, error) {
		response, err := o.Apply(ctx, request)
		if err != nil {
			return false, err
		}
		result = response
		return response.Leads, nil
	})
	switch {
	case err != nil:
		return errors.Wrapf(err, "it is not known whether command %s was accepted; send the same changes again with 'apply --id %s'", id, id)
	case result.Conflict != "":
		return errors.Errorf("conflict: version %d was made by %s", result.Version, result.Conflict)
	case len(result.Problems) > 0:
		return errors.Errorf("nothing was changed:\n%s", strings.Join(result.Problems, "\n"))
	}
	fmt.Printf("accepted: command %s made version %d\n", id, result.Version)
	return nil
}

// operatorName returns the user's name, which is reported to operators whose
// commands conflict.
func operatorName() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

type recoverCommand struct {
	Settings string `arg:"" type:"existingfile" help:"Settings file of the box whose disk is left."`
	Yes      bool   `required:"" help:"Confirm that most disks of the group are lost for good, and that no box of it runs."`
}

func (c *recoverCommand) Run() error {
	s, _, err := settings.LoadBox(c.Settings)
	if err != nil {
		return err
	}
	for _, p := range s.Control {
		if p.ID == s.ID {
			if err := store.Recover(s.DataDir, event.BoxID(s.ID), p.Address); err != nil {
				return err
			}
			fmt.Println("this box is now the group's only voter; start it, then the others with empty data folders")
			return nil
		}
	}
	return errors.New("the box does not have the control role")
}
