package drtimeline_test

import (
	"flag"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drtimeline"
)

var update = flag.Bool("update", false, "write the reference page")

// Guards against a docs/events.md that was not generated again after a change of
// Descriptions.
func TestReference(t *testing.T) {
	is := is.New(t)
	const page = "../docs/events.md"
	if *update {
		is.NoErr(os.WriteFile(page, []byte(drtimeline.Reference()), 0o644))
	}
	got, err := os.ReadFile(page)
	is.NoErr(err)
	is.Equal(string(got), drtimeline.Reference()) // run go generate ./drtimeline
}

// Guards against events that docs/events.md does not list, which come about when
// code records a literal name or a constant without a description, and against
// listed events that no product code records.
func TestNamesAreDescribedAndUsed(t *testing.T) {
	is := is.New(t)
	constantUsed := make(map[string]bool) // by constant of name.go: whether product code uses it
	eventNames := make(map[string]bool)
	fileSet := token.NewFileSet()
	file, err := parser.ParseFile(fileSet, "name.go", nil, 0)
	is.NoErr(err)
	ast.Inspect(file, func(n ast.Node) bool {
		if v, ok := n.(*ast.ValueSpec); ok && len(v.Values) == 1 {
			if l, ok := v.Values[0].(*ast.BasicLit); ok {
				constantUsed[v.Names[0].Name] = false
				eventNames[strings.Trim(l.Value, `"`)] = true
			}
		}
		return true
	})
	is.Equal(len(drtimeline.Descriptions), len(constantUsed))
	for _, d := range drtimeline.Descriptions {
		is.True(eventNames[d.Name])
	}
	is.NoErr(filepath.WalkDir("..", func(path string, e fs.DirEntry, err error) error {
		if err != nil || e.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		f, err := parser.ParseFile(fileSet, path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(f, func(n ast.Node) bool {
			switch n := n.(type) {
			case *ast.SelectorExpr:
				if x, ok := n.X.(*ast.Ident); ok && x.Name == "drtimeline" {
					if _, ok := constantUsed[n.Sel.Name]; ok {
						constantUsed[n.Sel.Name] = true
					}
				}
			case *ast.CompositeLit:
				checkEventName(t, fileSet, n)
			}
			return true
		})
		return nil
	}))
	for name, used := range constantUsed {
		if !used {
			t.Errorf("nothing records %s", name)
		}
	}
}

// checkEventName fails the test if a composite literal is an Event whose Name is a
// string literal instead of a constant of drtimeline.
func checkEventName(t *testing.T, fileSet *token.FileSet, literal *ast.CompositeLit) {
	selector, ok := literal.Type.(*ast.SelectorExpr)
	if !ok || selector.Sel.Name != "Event" {
		return
	}
	for _, x := range literal.Elts {
		kv, ok := x.(*ast.KeyValueExpr)
		if !ok {
			continue
		}
		if _, isLiteral := kv.Value.(*ast.BasicLit); isLiteral && kv.Key.(*ast.Ident).Name == "Name" {
			t.Errorf("%s: the event's name is no constant of drtimeline", fileSet.Position(kv.Pos()))
		}
	}
}
