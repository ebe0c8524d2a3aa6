org.cassiastack.daemon.command.CancelCommand
org.cassiastack.daemon.command.CheckCommand
org.cassiastack.daemon.command.StatusCommand
org.cassiastack.daemon.command.SubmitCommand
