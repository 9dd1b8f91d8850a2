"""The endpoint role: proxies requests to the model engine or plain service on its VM."""
