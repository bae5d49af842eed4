package drmetric

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against metrics that stay at zero because no product code writes them.
func TestEveryMetricHasAProducer(t *testing.T) {
	is := is.New(t)
	unused := make(map[string]bool)
	fileSet := token.NewFileSet()
	nameFile, err := parser.ParseFile(fileSet, "name.go", nil, 0)
	is.NoErr(err)
	ast.Inspect(nameFile, func(n ast.Node) bool {
		if v, ok := n.(*ast.ValueSpec); ok && v.Names[0].Name != "Descriptions" {
			unused[v.Names[0].Name] = true
		}
		return true
	})
	is.Equal(len(unused), len(Descriptions))
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
				if x, ok := n.X.(*ast.Ident); ok && x.Name == "drmetric" {
					delete(unused, n.Sel.Name)
				}
			case *ast.CallExpr: // RegisterProcess, in this package, uses names without the package
				for _, a := range n.Args {
					if x, ok := a.(*ast.Ident); ok && f.Name.Name == "drmetric" {
						delete(unused, x.Name)
					}
				}
			}
			return true
		})
		return nil
	}))
	is.Equal(unused, map[string]bool{})
}
