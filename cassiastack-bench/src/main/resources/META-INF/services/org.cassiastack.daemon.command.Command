org.cassiastack.bench.quickstart.QuickstartCommand
org.cassiastack.bench.load.LoadCommand
org.cassiastack.bench.load.CompareCommand
