"""What the instance knows of targets and which one it sends to."""
