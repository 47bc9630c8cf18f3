package settings

import (
	"errors"
	"fmt"
	"path/filepath"
	"runtime/metrics"
	"slices"
	"strings"

	"go.starlark.net/resolve"
	"go.starlark.net/starlark"
	"go.starlark.net/syntax"
)

// Bounds on a run. Steps are counted by Starlark; a declaration takes about ten. Memory is what the
// process allocates while the script runs, checked after every step. No single step can more than
// double it, since checkSyntax rejects the constructs that could.
const (
	maxSteps  = 100_000
	maxMemory = 32 << 20
	maxDepth  = 4    // nesting of lists and dictionaries
	maxValues = 4096 // of one call
)

// call is one call that the script made: its values and their positions.
type call struct {
	values   map[string]any
	position syntax.Position
	keys     map[string]syntax.Position // positions of the keys
}

// fault returns a fault at the position of a key, or of the call if key is empty or was not set.
func (c *call) fault(name, key, problem string) Fault {
	at := c.position
	if p, ok := c.keys[key]; ok {
		at = p
	}
	if key != "" {
		name += "." + key
	}
	return Fault{File: at.Filename(), Line: int(at.Line), Column: int(at.Col), Key: name, Problem: problem}
}

// loadedFile is a file that a load statement has run or is running; while it runs, globals is nil.
type loadedFile struct {
	globals starlark.StringDict
	loaded  bool
}

// script is one run of a settings script.
type script struct {
	read        func(string) ([]byte, error)
	calls       map[string]*call
	loadedFiles map[string]*loadedFile
	// keyPositions has the positions of each call's keys, by the position of the call's opening parenthesis.
	keyPositions map[syntax.Position]map[string]syntax.Position
	thread       *starlark.Thread
}

// run executes the script and the files it loads in one thread, with common bounds.
func (s *script) run(name string) error {
	start := allocated()
	s.keyPositions = map[syntax.Position]map[string]syntax.Position{}
	s.thread = &starlark.Thread{Name: name, Load: s.load, Print: func(*starlark.Thread, string) {}}
	s.thread.SetMaxExecutionSteps(1) // so that OnMaxSteps is called at each step
	s.thread.OnMaxSteps = func(t *starlark.Thread) {
		switch {
		case t.Steps > maxSteps:
			t.Cancel(fmt.Sprintf("the script takes more than %d steps", maxSteps))
		case allocated()-start > maxMemory:
			t.Cancel(fmt.Sprintf("the script uses more than %d MiB", maxMemory>>20))
		}
	}
	_, err := s.execFile(name)
	return err
}

var allocMetric = "/gc/heap/allocs:bytes"

// allocated returns the bytes that the process has allocated on the heap since its start.
func allocated() uint64 {
	sample := [1]metrics.Sample{{Name: allocMetric}}
	metrics.Read(sample[:])
	return sample[0].Value.Uint64()
}

// execFile checks and runs one file and returns its global names.
func (s *script) execFile(name string) (starlark.StringDict, error) {
	text, err := s.read(name)
	if err != nil {
		return nil, Fault{File: name, Problem: err.Error()}
	}
	f, err := (&syntax.FileOptions{}).Parse(name, text, 0)
	if err != nil {
		return nil, err
	}
	if err := s.checkSyntax(f); err != nil {
		return nil, err
	}
	builtinCalls := starlark.StringDict{}
	for _, c := range calls() {
		builtinCalls[c] = starlark.NewBuiltin(c, s.recordCall)
	}
	p, err := starlark.FileProgram(f, builtinCalls.Has)
	if err != nil {
		return nil, err
	}
	g, err := p.Init(s.thread, builtinCalls)
	g.Freeze()
	return g, err
}

// load implements the load statement. Each file runs once.
func (s *script) load(_ *starlark.Thread, name string) (starlark.StringDict, error) {
	if filepath.Base(name) != name || !strings.HasSuffix(name, ".star") {
		return nil, fmt.Errorf("load takes the name of a .star file beside the script, not %q", name)
	}
	m := s.loadedFiles[name]
	if m == nil {
		if len(s.loadedFiles) >= maxFiles {
			return nil, fmt.Errorf("more than %d files are loaded", maxFiles)
		}
		m = &loadedFile{}
		s.loadedFiles[name] = m
		g, err := s.execFile(name)
		if err != nil {
			return nil, err
		}
		m.globals, m.loaded = g, true
	}
	if !m.loaded {
		return nil, fmt.Errorf("%s is loaded by itself", name)
	}
	return m.globals, nil
}

// recordCall implements every settings call: it only records the values.
func (s *script) recordCall(t *starlark.Thread, b *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
	at := t.CallFrame(1).Pos
	fault := func(key, problem string) error {
		c := call{position: at, keys: s.keyPositions[at]}
		return c.fault(b.Name(), key, problem)
	}
	if old := s.calls[b.Name()]; old != nil {
		return nil, fault("", fmt.Sprintf("is called a second time, first at %s:%d", old.position.Filename(), old.position.Line))
	}
	if len(args) > 0 {
		return nil, fault("", "takes named values only, as in "+b.Name()+"("+keys(b.Name())[0]+" = ...)")
	}
	c := &call{values: map[string]any{}, position: at, keys: s.keyPositions[at]}
	remaining := maxValues
	for _, kv := range kwargs {
		key := string(kv[0].(starlark.String))
		v, err := toJSONValue(kv[1], maxDepth, &remaining)
		if err != nil {
			return nil, fault(key, err.Error())
		}
		c.values[key] = v
	}
	s.calls[b.Name()] = c
	return starlark.None, nil
}

// toJSONValue converts a Starlark value into a JSON value. The bounds on depth and number of values stop a list
// that contains itself, or that contains one list many times.
func toJSONValue(v starlark.Value, depth int, remaining *int) (any, error) {
	if *remaining--; *remaining < 0 || depth < 0 {
		return nil, errors.New("holds too much")
	}
	switch v := v.(type) {
	case starlark.NoneType:
		return nil, nil
	case starlark.Bool:
		return bool(v), nil
	case starlark.String:
		return string(v), nil
	case starlark.Int:
		if n, ok := v.Int64(); ok {
			return n, nil
		}
		return nil, errors.New("is too large a number")
	case starlark.Float:
		return float64(v), nil
	case *starlark.List:
		list := make([]any, 0, min(v.Len(), *remaining+1))
		for i := range v.Len() {
			x, err := toJSONValue(v.Index(i), depth-1, remaining)
			if err != nil {
				return nil, err
			}
			list = append(list, x)
		}
		return list, nil
	case *starlark.Dict:
		m := map[string]any{}
		for _, kv := range v.Items() {
			k, ok := kv[0].(starlark.String)
			if !ok {
				return nil, errors.New("has a key that is no text")
			}
			x, err := toJSONValue(kv[1], depth-1, remaining)
			if err != nil {
				return nil, err
			}
			m[string(k)] = x
		}
		return m, nil
	}
	return nil, fmt.Errorf("is a %s, which no setting takes", v.Type())
}

// builtins are the only Starlark built-ins that a script may use. None of them returns a value larger
// than its arguments.
var builtins = []string{"None", "True", "False", "bool", "int", "float", "len"}

// checkSyntax checks a file before it runs. It rejects what could use memory or time out of proportion
// to the counted steps: functions, methods (joining many long strings is one step), tuples (they can be
// hashed and converted to text at any depth), products of anything but numeric literals, and ranges.
func (s *script) checkSyntax(f *syntax.File) error {
	var faults Faults
	reject := func(n syntax.Node, problem string) {
		at, _ := n.Span()
		faults = append(faults, Fault{File: at.Filename(), Line: int(at.Line), Column: int(at.Col), Problem: problem})
	}
	keyNames := map[*syntax.Ident]bool{} // names of arguments, which are not looked up as variables
	syntax.Walk(f, func(n syntax.Node) bool {
		switch n := n.(type) {
		case *syntax.DefStmt:
			reject(n, "the settings have no functions")
			return false
		case *syntax.LambdaExpr:
			reject(n, "the settings have no functions")
			return false
		case *syntax.DotExpr:
			reject(n, "the settings have no methods")
			return false
		case *syntax.TupleExpr:
			reject(n, "the settings have no tuples, write a list: [...]")
		case *syntax.AssignStmt:
			if n.Op != syntax.EQ {
				reject(n, "a name is given its value once, with =")
			}
		case *syntax.BinaryExpr:
			if (n.Op == syntax.STAR || n.Op == syntax.PERCENT || n.Op == syntax.LTLT) && !(isNumeric(n.X) && isNumeric(n.Y)) {
				reject(n, "* and % and << take numbers that are written out")
			}
		case *syntax.CallExpr:
			s.keyPositions[n.Lparen] = map[string]syntax.Position{}
			for _, a := range n.Args {
				switch a := a.(type) {
				case *syntax.BinaryExpr:
					if id, ok := a.X.(*syntax.Ident); ok && a.Op == syntax.EQ {
						s.keyPositions[n.Lparen][id.Name] = id.NamePos
						keyNames[id] = true
					}
				case *syntax.UnaryExpr:
					if a.Op == syntax.STAR {
						reject(a, "write the values out, without *")
					}
				}
			}
		}
		return true
	})
	syntax.Walk(f, func(n syntax.Node) bool {
		if id, ok := n.(*syntax.Ident); ok && !keyNames[id] && !slices.Contains(builtins, id.Name) && starlark.Universe.Has(id.Name) {
			reject(n, id.Name+" is not part of the settings")
		}
		return true
	})
	if faults != nil {
		return faults
	}
	return nil
}

// isNumeric reports whether an expression consists of numeric literals and operators only.
func isNumeric(e syntax.Expr) bool {
	switch e := e.(type) {
	case *syntax.Literal:
		return e.Token == syntax.INT || e.Token == syntax.FLOAT
	case *syntax.ParenExpr:
		return isNumeric(e.X)
	case *syntax.UnaryExpr:
		return isNumeric(e.X)
	case *syntax.BinaryExpr:
		return isNumeric(e.X) && isNumeric(e.Y)
	}
	return false
}

// faultsOf converts the error of a run into faults with their positions.
func (s *script) faultsOf(name string, err error) Faults {
	var all Faults
	var one Fault
	var list resolve.ErrorList
	var syn syntax.Error
	var eval *starlark.EvalError
	switch {
	case errors.As(err, &all):
		return all
	case errors.As(err, &one):
		return Faults{one}
	case errors.As(err, &list):
		for _, e := range list {
			f := Fault{File: e.Pos.Filename(), Line: int(e.Pos.Line), Column: int(e.Pos.Col), Problem: e.Msg}
			if name, ok := strings.CutPrefix(e.Msg, "undefined: "); ok {
				name, _, _ = strings.Cut(name, " ")
				f.Key, f.Problem = name, "is not known, the calls are "+strings.Join(calls(), ", ")
			}
			all = append(all, f)
		}
		return all
	case errors.As(err, &syn):
		return Faults{{File: syn.Pos.Filename(), Line: int(syn.Pos.Line), Column: int(syn.Pos.Col), Problem: syn.Msg}}
	case errors.As(err, &eval):
		f := Fault{File: name, Problem: eval.Msg}
		for i := range eval.CallStack {
			if p := eval.CallStack[i].Pos; p.Line > 0 {
				f.File, f.Line, f.Column = p.Filename(), int(p.Line), int(p.Col)
			}
		}
		return Faults{f}
	}
	return Faults{{File: name, Problem: err.Error()}}
}
