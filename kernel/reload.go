package kernel

import "go.uber.org/fx"

// Reload is called on SIGHUP, when settings files may have changed.
type Reload func()

// ProvideReload registers the Reload that constructor returns.
func ProvideReload(constructor any) fx.Option {
	return fx.Provide(fx.Annotate(constructor, fx.ResultTags(`group:"reloads"`)))
}
