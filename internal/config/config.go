// Package config reads YAML files into typed structs. It reports every
// unknown field, wrong type and failed check of a file together, each with its
// line and column.
package config

import (
	"os"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"quinceridge.example/quinceridge/internal/finding"
)

// MaxFileBytes bounds a configuration file. A larger one is refused unread.
const MaxFileBytes = 8 << 20

// Checker is implemented by a configuration that has checks across fields.
// Each problem is named by the YAML path of the field at fault.
type Checker interface {
	Check() []Problem
}

// Problem is a failed check, without a place yet.
type Problem struct {
	// Path is the YAML path, such as $.tenants[2].name.
	Path string
	// Message says what is wrong.
	Message string
}

var validate = newValidator()

// mapKeys matches the map keys of a validator's path, such as models[small].
// List indexes are numbers and stay as they are.
var mapKeys = regexp.MustCompile(`\[([^\]0-9][^\]]*)\]`)

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(yamlName)
	return v
}

func yamlName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
	return name
}

// Load reads and checks the file at path into target, a pointer to a struct.
// It returns a finding.List when the content is at fault.
func Load(path string, target any) error {
	info, err := os.Stat(path)
	if err != nil {
		return errors.Wrap(err, "read configuration")
	}
	if info.Size() > MaxFileBytes {
		return finding.List{{File: path, Message: "the file is larger than 8 MiB"}}
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read configuration")
	}
	return Decode(path, data, target)
}

// Decode reads and checks data into target, a pointer to a struct. The file
// name serves for findings only.
func Decode(file string, data []byte, target any) error {
	tree, err := parser.ParseBytes(data, 0)
	if err != nil {
		return finding.List{fromYAML(file, err)}
	}
	if len(tree.Docs) != 1 || tree.Docs[0].Body == nil {
		return finding.List{{File: file, Line: 1, Column: 1, Message: "expected one YAML document with a mapping"}}
	}
	body := tree.Docs[0].Body
	places := map[string]place{}
	var findings finding.List
	index(body, "$", places)
	unknown(file, body, reflect.TypeOf(target).Elem(), "$", &findings)
	if err := yaml.NodeToValue(body, target); err != nil {
		findings = append(findings, fromYAML(file, err))
		return findings.Err()
	}
	for _, p := range problems(target) {
		findings = append(findings, located(file, p, places))
	}
	return findings.Err()
}

func problems(target any) []Problem {
	var out []Problem
	var failures validator.ValidationErrors
	if errors.As(validate.Struct(target), &failures) {
		for _, f := range failures {
			_, path, _ := strings.Cut(f.Namespace(), ".")
			out = append(out, Problem{Path: "$." + mapKeys.ReplaceAllString(path, ".$1"), Message: rule(f)})
		}
	}
	if c, ok := target.(Checker); ok {
		out = append(out, c.Check()...)
	}
	return out
}

func rule(f validator.FieldError) string {
	switch f.Tag() {
	case "required":
		return "is required"
	case "oneof":
		return "must be one of: " + f.Param()
	case "min", "gte":
		return "must be at least " + f.Param()
	case "max", "lte":
		return "must be at most " + f.Param()
	case "gt":
		return "must be more than " + f.Param()
	case "hostname_port", "tcp_addr", "ip":
		return "must be an IP number with a port, such as 127.0.0.1:8080"
	case "unique":
		return "must not repeat " + f.Param()
	}
	return "fails the check " + f.Tag() + " " + f.Param()
}

type place struct{ line, column int }

// located gives a problem the place of its field, or of the nearest parent
// that stands in the file.
func located(file string, p Problem, places map[string]place) finding.Finding {
	path := p.Path
	for {
		if at, ok := places[path]; ok {
			return finding.Finding{File: file, Line: at.line, Column: at.column, Field: p.Path, Message: p.Message}
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut <= 0 {
			return finding.Finding{File: file, Line: 1, Column: 1, Field: p.Path, Message: p.Message}
		}
		path = path[:cut]
	}
}

func fromYAML(file string, err error) finding.Finding {
	out := finding.Finding{File: file, Line: 1, Column: 1, Message: err.Error()}
	var located yaml.Error
	if errors.As(err, &located) {
		out.Message = located.GetMessage()
		if t := located.GetToken(); t != nil && t.Position != nil {
			out.Line, out.Column = t.Position.Line, t.Position.Column
		}
	}
	return out
}

func index(node ast.Node, path string, places map[string]place) {
	if t := node.GetToken(); t != nil && t.Position != nil {
		if _, ok := places[path]; !ok {
			places[path] = place{line: t.Position.Line, column: t.Position.Column}
		}
	}
	for _, child := range children(node, path) {
		if t := child.key; t != nil {
			places[child.path] = place{line: t.GetToken().Position.Line, column: t.GetToken().Position.Column}
		}
		index(child.node, child.path, places)
	}
}

type child struct {
	name string
	path string
	key  ast.Node
	node ast.Node
}

func children(node ast.Node, path string) []child {
	var out []child
	switch n := node.(type) {
	case *ast.MappingNode:
		for _, v := range n.Values {
			out = append(out, mappingChild(v, path))
		}
	case *ast.MappingValueNode:
		out = append(out, mappingChild(n, path))
	case *ast.SequenceNode:
		for i, v := range n.Values {
			out = append(out, child{path: path + "[" + strconv.Itoa(i) + "]", node: v})
		}
	}
	return out
}

func mappingChild(v *ast.MappingValueNode, path string) child {
	name := v.Key.GetToken().Value
	return child{name: name, path: path + "." + name, key: v.Key, node: v.Value}
}

var durationType = reflect.TypeOf(time.Duration(0))

// unknown reports each mapping key that the type has no field for.
func unknown(file string, node ast.Node, t reflect.Type, path string, findings *finding.List) {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch t.Kind() {
	case reflect.Slice:
		for _, c := range children(node, path) {
			unknown(file, c.node, t.Elem(), c.path, findings)
		}
	case reflect.Map:
		for _, c := range children(node, path) {
			unknown(file, c.node, t.Elem(), c.path, findings)
		}
	case reflect.Struct:
		if t == durationType || t == reflect.TypeOf(time.Time{}) {
			return
		}
		if list, is := node.(*ast.SequenceNode); is {
			at := list.GetToken().Position
			*findings = append(*findings, finding.Finding{File: file, Line: at.Line, Column: at.Column, Field: path, Message: "expected a mapping, not a list"})
			return
		}
		fields := fieldsOf(t)
		for _, c := range children(node, path) {
			field, ok := fields[c.name]
			if !ok {
				at := c.key.GetToken().Position
				*findings = append(*findings, finding.Finding{File: file, Line: at.Line, Column: at.Column, Field: c.path,
					Message: "unknown field; known here: " + strings.Join(namesOf(t), ", ")})
				continue
			}
			unknown(file, c.node, field, c.path, findings)
		}
	}
}

func fieldsOf(t reflect.Type) map[string]reflect.Type {
	out := map[string]reflect.Type{}
	for i := range t.NumField() {
		if name := yamlName(t.Field(i)); name != "" && name != "-" {
			out[name] = t.Field(i).Type
		}
	}
	return out
}

func namesOf(t reflect.Type) []string {
	var out []string
	for i := range t.NumField() {
		if name := yamlName(t.Field(i)); name != "" && name != "-" {
			out = append(out, name)
		}
	}
	return out
}
