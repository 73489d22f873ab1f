//! What the older process does when: it serves until another one is ready, stops accepting then, gives what stands
//! away once it is told to leave, and takes clients again where the other one dies first.

/// What the older process hears.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// The successor with this number takes the clients.
    Ready(u64),
    /// That one has gone.
    Gone(u64),
    /// This process is told to leave.
    Leave,
}

/// What it does then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Does {
    /// Nothing.
    Nothing,
    /// Accepts nobody any more.
    StopAccepting,
    /// Gives its connections to the successor with this number.
    Give(u64),
    /// Accepts again, and moves what it could not give away.
    TakeBack,
}

/// Where it stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stage {
    successor: Option<u64>,
    leaving: bool,
}

impl Stage {
    /// Takes what is heard. Of two successors the one that was ready first counts, until it goes.
    pub fn hear(&mut self, heard: Heard) -> Does {
        match heard {
            Heard::Ready(_) if self.successor.is_some() => Does::Nothing,
            Heard::Ready(number) => {
                self.successor = Some(number);
                match self.leaving {
                    true => Does::Give(number),
                    false => Does::StopAccepting,
                }
            }
            Heard::Gone(number) if self.successor == Some(number) => {
                self.successor = None;
                Does::TakeBack
            }
            Heard::Gone(_) => Does::Nothing,
            Heard::Leave => {
                self.leaving = true;
                self.successor.map_or(Does::Nothing, Does::Give)
            }
        }
    }

    /// Somebody else takes the clients.
    pub fn succeeded(&self) -> bool {
        self.successor.is_some()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn does(heard: &[Heard]) -> Vec<Does> {
        let mut stage = Stage::default();
        heard.iter().map(|one| stage.hear(*one)).collect()
    }

    #[test]
    fn clients_are_never_left_to_one_that_has_gone() {
        use {Does::*, Heard::*};
        assert_eq!(does(&[Ready(1), Leave]), [StopAccepting, Give(1)]);
        assert_eq!(
            does(&[Ready(1), Gone(1), Leave]),
            [StopAccepting, TakeBack, Nothing]
        );
        assert_eq!(
            does(&[Ready(1), Leave, Gone(1)]),
            [StopAccepting, Give(1), TakeBack]
        );
        // One that dies before its yes changes nothing; a second one counts after the first.
        assert_eq!(
            does(&[Gone(1), Ready(2), Ready(3), Gone(3)]),
            [Nothing, StopAccepting, Nothing, Nothing]
        );
        assert_eq!(
            does(&[Ready(2), Gone(2), Ready(3), Leave]),
            [StopAccepting, TakeBack, StopAccepting, Give(3)]
        );
        // Ready after the old one was told to leave: it gives at once.
        assert_eq!(does(&[Leave, Ready(1)]), [Nothing, Give(1)]);
    }
}
