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

// declarationExtensions are the extensions of the files that Load reads in
// directories.
var declarationExtensions = []string{".json", ".jsonc"}

// Load reads the declaration files at paths. For a directory it reads all .json and
// .jsonc files in it and below, in lexical order. It returns the objects and all
// problems, including those of the resulting configuration as a whole. The objects
// must not be used if there are problems.
func Load(paths ...string) (Objects, []drjson.Problem) { return LoadOnto(Config{}, paths...) }

// LoadOnto is like Load, for objects that are to be added to the configuration base
// and may refer to its objects.
func LoadOnto(base Config, paths ...string) (Objects, []drjson.Problem) {
	l := loader{walkDir: filepath.WalkDir, readFile: os.ReadFile}
	for _, p := range paths {
		l.loadPath(p)
	}
	return l.validate(base)
}

// LoadFS is like Load, but reads the paths from fsys.
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

// DecodeObject decodes the JSON of one object, without the {"KIND": ...} around it.
// References to other objects are not validated; Change.ApplyTo does that.
func DecodeObject(r Ref, src []byte) (Object, []drjson.Problem) {
	n, problems := drjson.Parse(r.String(), src)
	if problems != nil {
		return nil, problems
	}
	return decodeObject(r.Kind, n)
}

// Parse is like Load for one file with the contents src. The file name is only used in
// problems.
func Parse(file string, src []byte) (Objects, []drjson.Problem) {
	var l loader
	l.parse(file, src)
	return l.validate(Config{})
}

// loader collects declared objects, their positions and the problems with them.
type loader struct {
	walkDir      func(root string, fn fs.WalkDirFunc) error
	readFile     func(name string) ([]byte, error)
	objects      Objects
	declarations map[Ref]drjson.Node // where each object is declared
	problems     []drjson.Problem
}

// loadPath reads a file, or all declaration files in a directory tree.
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

// parse collects the declarations of one file.
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

// addDeclaration collects one declaration {"KIND": {...}}.
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

// validate validates base together with the loaded objects. It returns the objects and
// all problems, ordered by position. Problems can also concern objects of base that the
// loaded ones make invalid.
func (l *loader) validate(base Config) (Objects, []drjson.Problem) {
	merged := base.With(l.objects...)
	undecodable := drcollection.Set[drjson.Problem]{}
	for _, p := range l.problems {
		undecodable.Add(drjson.Problem{File: p.File, Line: p.Line, Column: p.Column})
	}
	for _, p := range toProblems(check(merged, nil), l.declarations) {
		// A member that could not be decoded was left at its zero value. Do not
		// report that value as well.
		if !undecodable.Has(drjson.Problem{File: p.File, Line: p.Line, Column: p.Column}) {
			l.problems = append(l.problems, p)
		}
	}
	slices.SortStableFunc(l.problems, drjson.Problem.Compare)
	return l.objects, l.problems
}
