"""One ingress on several cores: workers that serve, and the guardian that starts and watches them."""
