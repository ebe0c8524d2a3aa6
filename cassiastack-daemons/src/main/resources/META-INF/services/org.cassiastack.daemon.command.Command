org.cassiastack.daemon.command.CancelCommand
org.cassiastack.daemon.command.CheckCommand
org.cassiastack.daemon.command.StatusCommand
org.cassiastack.daemon.command.SubmitCommand
org.cassiastack.daemon.command.ApplyCommand
org.cassiastack.daemon.command.DrainCommand
org.cassiastack.daemon.command.ReturnCommand
org.cassiastack.daemon.command.ShowCommand
