package drconfig

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"slices"

	"github.com/dotterelridge/dotterelridge/drcollection"
	"github.com/dotterelridge/dotterelridge/drjson"
)

// declarationExtensions of the files that Load reads in directories.
var declarationExtensions = []string{".json", ".jsonc"}

// Load reads declaration files, and in directories all .json and .jsonc files
// in lexical order. It returns the objects and every problem found, including
// those of the resulting configuration as a whole. The objects are usable
// only if there are no problems.
func Load(paths ...string) (Objects, []drjson.Problem) { return LoadOnto(Config{}, paths...) }

// LoadOnto is Load for objects that are added to an existing configuration,
// to which they may refer.
func LoadOnto(base Config, paths ...string) (Objects, []drjson.Problem) {
	l := loader{walkDir: filepath.WalkDir, readFile: os.ReadFile}
	for _, p := range paths {
		l.loadPath(p)
	}
	return l.validate(base)
}

// LoadFS is Load for paths in fsys.
func LoadFS(fsys fs.FS, paths ...string) (Objects, []drjson.Problem) {
	l := loader{
		walkDir:  func(root string, fn fs.WalkDirFunc) error { return fs.WalkDir(fsys, root, fn) },
		readFile: func(name string) ([]byte, error) { return fs.ReadFile(fsys, name) },
	}
	for _, p := range paths {
		l.loadPath(p)
	}
	return l.validate(Config{})
}

// DecodeObject decodes the JSON of one object, without its kind. References
// to other objects are not checked; see Change.ApplyTo.
func DecodeObject(r Ref, src []byte) (Object, []drjson.Problem) {
	n, problems := drjson.Parse(r.String(), src)
	if problems != nil {
		return nil, problems
	}
	return decodeObject(r.Kind, n)
}

// Parse reads declarations from src. The file name is used in problems only.
func Parse(file string, src []byte) (Objects, []drjson.Problem) {
	var l loader
	l.parse(file, src)
	return l.validate(Config{})
}

// loader collects declarations and where they were made.
type loader struct {
	walkDir      func(root string, fn fs.WalkDirFunc) error
	readFile     func(name string) ([]byte, error)
	objects      Objects
	declarations map[Ref]drjson.Node
	problems     []drjson.Problem
}

func (l *loader) loadPath(root string) {
	err := l.walkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() || path != root && !slices.Contains(declarationExtensions, filepath.Ext(path)) {
			return nil
		}
		src, err := l.readFile(path)
		if err != nil {
			return err
		}
		l.parse(path, src)
		return nil
	})
	if err != nil {
		p := drjson.Problem{File: root, Reason: err.Error()}
		if pe, ok := errors.AsType[*fs.PathError](err); ok {
			p.File, p.Reason = pe.Path, pe.Err.Error()
		}
		l.problems = append(l.problems, p)
	}
}

func (l *loader) parse(file string, src []byte) {
	root, problems := drjson.Parse(file, src)
	if problems != nil {
		l.problems = append(l.problems, problems...)
		return
	}
	for _, n := range root.Elements() {
		l.addDeclaration(n)
	}
}

func (l *loader) addDeclaration(node drjson.Node) {
	members, ok := node.Members()
	if !ok || len(members) != 1 {
		l.problems = append(l.problems, node.Problem("want a declaration {\"KIND\": {...}} with one member"))
		return
	}
	member := members[0]
	if newObject(Kind(member.Key)) == nil {
		_, problems := decodeObject(Kind(member.Key), member.Name)
		l.problems = append(l.problems, problems...)
		return
	}
	object, problems := decodeObject(Kind(member.Key), member.Value)
	l.problems = append(l.problems, problems...)
	if first, ok := l.declarations[object.Ref()]; ok {
		position := first.Problem("")
		l.problems = append(l.problems, member.Value.Problem("%s is already declared at %s:%d:%d", object.Ref(), position.File, position.Line, position.Column))
		return
	}
	if l.declarations == nil {
		l.declarations = map[Ref]drjson.Node{}
	}
	l.declarations[object.Ref()] = member.Value
	l.objects = append(l.objects, object)
}

// validate validates the whole and orders the problems by position. Objects of
// the base that were valid before can only fail through new ones.
func (l *loader) validate(base Config) (Objects, []drjson.Problem) {
	merged := base.With(l.objects...)
	undecodable := drcollection.Set[drjson.Problem]{}
	for _, p := range l.problems {
		undecodable.Add(drjson.Problem{File: p.File, Line: p.Line, Column: p.Column})
	}
	for _, p := range toProblems(check(merged, nil), l.declarations) {
		// A member that could not be decoded is not reported as missing too.
		if !undecodable.Has(drjson.Problem{File: p.File, Line: p.Line, Column: p.Column}) {
			l.problems = append(l.problems, p)
		}
	}
	slices.SortStableFunc(l.problems, drjson.Problem.Compare)
	return l.objects, l.problems
}
