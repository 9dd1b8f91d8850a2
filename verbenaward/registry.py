"""Registries of implementations by name; decorators register them."""

from collections.abc import Callable
from typing import Generic, TypeVar

Item = TypeVar("Item")


class UnknownNameError(LookupError):
    """Raised if no item is registered under a name."""


class Registry(Generic[Item]):
    """Items, such as adapters or policies, by name.

    Attributes:
      kind: Description of an item, for error messages.
      items: Registered items by name.
    """

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self.items: dict[str, Item] = {}

    def register(self, name: str) -> Callable[[Item], Item]:
        """Return a decorator that registers a class or function under a name."""

        def decorate(item: Item) -> Item:
            self.items[name] = item
            return item

        return decorate

    def find(self, name: str) -> Item:
        """Return the item registered under a name.

        Raises:
          UnknownNameError: Nothing is registered under the name.
        """
        if name not in self.items:
            known = ", ".join(sorted(self.items))
            raise UnknownNameError(f"unknown {self.kind} {name!r}; known: {known}")
        return self.items[name]
