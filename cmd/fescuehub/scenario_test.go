package main

import (
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"fescuehub": main})
}

// TestScenarios runs each script against a deployment of separate operating system processes.
// The doc comments of the cmd functions describe the script commands.
func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "../../testdata/scenarios",
		RequireExplicitExec: true,
		Setup:               setupSite,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"site":        cmdSite,
			"popular":     cmdPopular,
			"awaitany":    cmdAwaitAny,
			"newmap":      cmdNewMap,
			"onemap":      cmdOneMap,
			"ordermap":    cmdOrderMap,
			"start":       cmdStart,
			"signal":      cmdSignal,
			"exited":      cmdExited,
			"fails":       cmdFails,
			"fault":       cmdFault,
			"await":       cmdAwait,
			"call":        cmdCall,
			"hangup":      cmdHangup,
			"raw":         cmdRaw,
			"sees":        cmdSees,
			"capture":     cmdCapture,
			"race":        cmdRace,
			"accepted":    cmdRaceCount(0),
			"rejected":    cmdRaceCount(3),
			"raced":       cmdRaced,
			"same":        cmdSame,
			"cut":         cmdCut,
			"mend":        cmdMend,
			"newkey":      cmdNewKey,
			"permit":      cmdPermit,
			"executions":  cmdExecutions,
			"truthful":    cmdTruthful,
			"writesready": cmdWritesReady,
			"storm":       cmdStorm,
			"watch":       cmdWatch,
			"watched":     cmdWatched,
			"calm":        cmdCalm,
		},
	})
}
