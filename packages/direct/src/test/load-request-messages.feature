Feature: load requests of other entries are checked

  Scenario: a number that is none
    An engine admits no request any more. This happens when its count of unread tokens or of open requests is added to a
    field of another type, or to one larger than any prompt.
    Then a load request and a report of use are read as sent, and with unknown fields
    And with any one field of another type they are rejected
