"""One ingress on several processor cores: worker processes that serve, and the supervisor that runs them."""
