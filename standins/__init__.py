"""Small stand-ins for the platform's services, for tests, benches and the demo."""
